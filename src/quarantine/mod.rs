//! Requests that crash the backend servers that run them.

mod crash_check;
mod fingerprint;

pub use crash_check::takes_no_connection;
pub use fingerprint::Fingerprint;
