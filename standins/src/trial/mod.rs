//! Discrete-event simulation of load-balancing policies: the daemon's decision functions against
//! modelled servers, in virtual time, without sockets or threads. The same seed yields the same counts.

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
