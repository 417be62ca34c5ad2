//! The request path: caller listener, idempotency key, home instance, slot, backend server.
//!
//! The homes of a service are the instances that normally send its requests to the backend
//! servers; a co-home is another home of the same service. Each backend server has one keeper: the
//! home that hands out its slots. A slot is the capacity of a backend server for one request.

mod answer;
mod attempt;
mod caller_listener;
mod fields;
mod keyed;
mod placement;
mod proxy_request;
mod queues;
mod router;
mod runner;
mod runner_peers;
mod service_state;
mod slot;
mod slot_queue;
mod slot_queue_state;
mod upstream;
mod upstream_body;

pub use answer::Answer;
pub use answer::AnswerBody;
pub use answer::BodyError;
pub use answer::Outcome;
pub use caller_listener::CallerListener;
pub use fields::ADDRESSES_PATH;
pub use fields::BACKEND_STATE;
pub use fields::DRAINING;
pub use fields::header_map;
pub use fields::is_hop_by_hop;
pub use placement::Placement;
pub use placement::rebuild_services;
pub use placement::run_placement;
pub use proxy_request::ProxyRequest;
pub use queues::handle_load_note;
pub use queues::run_queues;
pub use router::Router;
pub use service_state::ServiceState;
pub use slot::Slot;
pub use slot_queue::SlotQueue;
pub use slot_queue_state::CloseReason;
pub use upstream::CheckoutError;
pub use upstream::Freshness;
pub use upstream::PooledConn;
pub use upstream::Upstream;
pub use upstream_body::UpstreamBody;
