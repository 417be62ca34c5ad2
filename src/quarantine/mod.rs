//! Requests that crash the backend servers that run them.
//!
//! Such a request comes again, under another id and at any instance, and ends one server after the
//! other, with everybody's work there. Instances know it by its [`Fingerprints`], tell each other of
//! the servers that ended under it, and refuse it once three have: see [`Suspect`] for the rule.

mod crash_check;
mod denial;
mod fingerprint;
mod send_watch;
mod share;
mod suspect;
mod suspect_row;
mod table;
mod trial;

pub use crash_check::CRASH_CHECK_WAIT;
pub use crash_check::FailedSend;
pub use denial::Denial;
pub use fingerprint::Fingerprint;
pub use fingerprint::FingerprintScope;
pub use fingerprint::Fingerprints;
pub use send_watch::PendingSend;
pub use share::exchange_suspects;
pub use share::run_suspect_gossip;
pub use suspect::SendPolicy;
pub use suspect::SuspectRequest;
pub use suspect_row::Crash;
pub use suspect_row::SuspectRecord;
pub use table::Quarantine;
pub use trial::AdmittedSend;
