//! A caller: asks which address to use, keeps the answer, connects there.

mod client;
mod told;

pub use client::Call;
pub use client::Caller;
pub use told::Named;
pub use told::Told;
