//! A backend server that works, queues, sheds, drains and fails as it is told.

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
