//! Seeded trials of the decisions: the daemon's own functions against modelled servers, in
//! virtual time. No sockets, no threads: the same seed gives the same counts on every run.

mod model;
mod outcome;
mod policy;
mod scene;
mod server;
mod world;

pub use model::run_trial;
pub use outcome::TrialOutcome;
pub use policy::Policy;
pub use scene::Scene;
pub use scene::ServiceSize;
