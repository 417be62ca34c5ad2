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

pub use crash_check::LOOK_WAIT;
pub use crash_check::Unanswered;
pub use denial::Denial;
pub use fingerprint::Fingerprint;
pub use fingerprint::Fingerprints;
pub use fingerprint::Scope;
pub use send_watch::SendWatch;
pub use share::exchange_suspects;
pub use share::run_suspect_share;
pub use suspect::Standing;
pub use suspect::Suspect;
pub use suspect_row::Crash;
pub use suspect_row::SuspectRow;
pub use table::Quarantine;
pub use trial::Trial;
