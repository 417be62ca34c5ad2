//! Result codes and the error type that carries them.

mod code;
mod coded_error;

pub use code::Code;
pub use code::TABLE;
pub use coded_error::CodedError;
