//! A caller: queries which addresses to use, caches them and sends requests there.

mod call_result;
mod client;

pub use call_result::CallResult;
pub use call_result::InstanceAddress;
pub use client::Call;
pub use client::Caller;
