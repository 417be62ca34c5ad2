//! A backend server whose service times, load shedding, draining and faults can be set.

mod behaviour;
mod record;
mod server;
mod work;

pub use behaviour::Behaviour;
pub use record::Record;
pub use record::Run;
pub use server::Backend;
pub use server::BackendSettings;
pub use work::body_for;
