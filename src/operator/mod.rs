//! The operators' door: remote procedure calls as declared in `proto/`.

mod answers;
mod convert;
mod door;

pub use convert::code_of_status;
pub use convert::service_from_wire;
pub use convert::service_to_wire;
pub use door::OperatorDoor;
pub use door::TOKEN_FIELD;
