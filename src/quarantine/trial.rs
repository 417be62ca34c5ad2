//! One send of a request, as far as it may tell whether the request crashes servers.

use super::FingerprintScope;
use super::Fingerprints;
use super::Quarantine;

/// What was known of one fingerprint of a request when it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KnownCrashes {
    /// The highest level of a crash.
    pub level: u16,
    /// Whether this send is counted as under way.
    pub counted: bool,
}

/// A send that was admitted; over when it is dropped.
#[derive(Debug)]
pub struct AdmittedSend {
    pub(super) quarantine: Quarantine,
    pub(super) fingerprints: Fingerprints,
    /// Hash of the name of its service.
    pub(super) service_hash: u32,
    /// In the order of [`Scope::ALL`].
    pub(super) known_crashes: [KnownCrashes; FingerprintScope::ALL.len()],
}

impl AdmittedSend {
    /// What was sent.
    #[must_use]
    pub const fn fingerprints(&self) -> &Fingerprints {
        &self.fingerprints
    }

    /// The highest level of a crash that was known when it was sent.
    #[must_use]
    pub fn known_level(&self) -> u16 {
        self.known_crashes.iter().map(|known| known.level).max().unwrap_or(0)
    }

    /// The server that it was sent to has ended, and gave no whole answer.
    pub fn record_crash(&self, server: u32) {
        self.quarantine.record_crash(self, server);
    }

    /// The server gave a whole answer.
    pub fn record_response(&self) {
        self.quarantine.record_response(self);
    }
}

impl Drop for AdmittedSend {
    fn drop(&mut self) {
        if self.known_crashes.iter().any(|known| known.counted) {
            self.quarantine.end_send(self);
        }
    }
}
