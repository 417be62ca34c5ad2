//! One send of a request, as far as it may tell whether the request crashes servers.

use super::Fingerprint;
use super::Quarantine;

/// A send that was admitted; over when it is dropped.
#[derive(Debug)]
pub struct Trial {
    pub(super) quarantine: Quarantine,
    pub(super) fingerprint: Fingerprint,
    pub(super) known_level: u16,
    /// Whether it is the one send that a watched request is allowed at a time.
    pub(super) counted: bool,
}

impl Trial {
    /// What was sent.
    #[must_use]
    pub const fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// The highest level of a crash that was known when it was sent.
    #[must_use]
    pub const fn known_level(&self) -> u16 {
        self.known_level
    }

    /// The server that it was sent to has ended, and gave no whole answer.
    pub fn crashed(&self, server: u32) {
        self.quarantine.crashed(self.fingerprint, server, self.known_level);
    }

    /// The server gave a whole answer.
    pub fn answered(&self) {
        self.quarantine.answered(self.fingerprint, self.known_level);
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.counted {
            self.quarantine.trial_over(self.fingerprint);
        }
    }
}
