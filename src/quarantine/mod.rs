//! Quarantine of requests that crash the backend servers that run them.
//!
//! Such a request is repeated under new ids and at any instance, and crashes one server after
//! another, along with all other requests that run there. Instances recognize it by its
//! [`Fingerprints`], gossip the crashes that happened while it ran, and reject it after three: see
//! [`SuspectRequest`] for the rule.

mod admitted_send;
mod crash_check;
mod denial;
mod fingerprint;
mod pending_send;
mod quarantine;
mod suspect_gossip;
mod suspect_record;
mod suspect_request;

pub use admitted_send::AdmittedSend;
pub use crash_check::CRASH_CHECK_WAIT;
pub use crash_check::FailedSend;
pub use denial::Denial;
pub use fingerprint::Fingerprint;
pub use fingerprint::FingerprintScope;
pub use fingerprint::Fingerprints;
pub use pending_send::PendingSend;
pub use quarantine::Quarantine;
pub use suspect_gossip::exchange_suspects;
pub use suspect_gossip::run_suspect_gossip;
pub use suspect_record::Crash;
pub use suspect_record::SuspectRecord;
pub use suspect_request::SendPolicy;
pub use suspect_request::SuspectRequest;
