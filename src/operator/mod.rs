//! The operators' listener: the gRPC service declared in `proto/`.

mod convert;
mod operator_listener;
mod operator_service;

pub use convert::code_from_status;
pub use convert::service_from_wire;
pub use convert::service_to_wire;
pub use operator_listener::OperatorListener;
pub use operator_listener::TOKEN_METADATA_KEY;
