//! The way of a request: door, key, home, slot, backend server.

mod answer;
mod attempt;
mod binder;
mod desk;
mod door;
mod fields;
mod keyed;
mod places;
mod router;
mod runner;
mod service_state;
mod slot;
mod tell;
mod ticket;
mod upstream;

pub use answer::Answer;
pub use answer::AnswerBody;
pub use answer::BodyError;
pub use answer::Outcome;
pub use binder::Binder;
pub use desk::CloseReason;
pub use door::Door;
pub use fields::ADDRESSES_PATH;
pub use places::Placement;
pub use places::refresh;
pub use places::run_placement;
pub use router::Router;
pub use service_state::ServiceState;
pub use slot::Slot;
pub use tell::hear;
pub use tell::run_queues;
pub use ticket::Ticket;
pub use upstream::Conn;
pub use upstream::Need;
pub use upstream::Upstream;
