//! A caller: asks which address to use, keeps the answer, connects there.

mod call_result;
mod client;

pub use call_result::CallResult;
pub use call_result::InstanceAddress;
pub use client::Call;
pub use client::Caller;
