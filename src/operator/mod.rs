//! The operators' listener: remote procedure calls as declared in `proto/`.

mod answers;
mod convert;
mod operator_listener;

pub use convert::code_of_status;
pub use convert::service_from_wire;
pub use convert::service_to_wire;
pub use operator_listener::OperatorListener;
pub use operator_listener::TOKEN_FIELD;
