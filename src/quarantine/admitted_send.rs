//! A send whose outcome shows whether its request crashes servers.

use super::FingerprintScope;
use super::Fingerprints;
use super::Quarantine;

/// What was known of one fingerprint of a request when it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KnownCrashes {
    /// Highest crash level.
    pub level: u16,
    /// Whether this send is counted as in flight.
    pub counted: bool,
}

/// A send admitted by the [`Quarantine`]; in flight until it is dropped.
#[derive(Debug)]
pub struct AdmittedSend {
    pub(super) quarantine: Quarantine,
    pub(super) fingerprints: Fingerprints,
    /// Hash of the name of the service.
    pub(super) service_hash: u32,
    /// In the order of [`FingerprintScope::ALL`].
    pub(super) known_crashes: [KnownCrashes; FingerprintScope::ALL.len()],
}

impl AdmittedSend {
    /// Fingerprints of the request.
    #[must_use]
    pub const fn fingerprints(&self) -> &Fingerprints {
        &self.fingerprints
    }

    /// Highest crash level that was known when it was sent.
    #[must_use]
    pub fn known_level(&self) -> u16 {
        self.known_crashes.iter().map(|known| known.level).max().unwrap_or(0)
    }

    /// Records that the server crashed before its response was complete.
    pub fn record_crash(&self, server_hash: u32) {
        self.quarantine.record_crash(self, server_hash);
    }

    /// Records that the server gave a complete response.
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
