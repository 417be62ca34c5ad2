//! Reasons not to send a request to a server.

use std::time::Duration;

use crate::errors::Code;

/// Retry-after time while a copy of the request is in flight; a usual response takes no longer.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why a request is not sent to a server; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It crashed servers, and is blocked for the `remaining` time.
    Quarantined { remaining: Duration },
    /// It may have crashed a server, and a copy of it is in flight.
    AlreadyInFlight,
}

impl Denial {
    /// Result code for the caller.
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::Quarantined { .. } => Code::Quarantined,
            Self::AlreadyInFlight => Code::OnTrial,
        }
    }

    /// Time after which the caller may retry, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(self) -> u64 {
        let after = match self {
            Self::Quarantined { remaining } => remaining,
            Self::AlreadyInFlight => IN_FLIGHT_RETRY_AFTER,
        };
        u64::try_from(after.as_millis()).unwrap_or(u64::MAX)
    }
}
