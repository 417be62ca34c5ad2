//! Why a request is not sent on.

use std::time::Duration;

use crate::errors::Code;

/// A trial of the same content ends within a usual answer's time.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why a request is not sent on; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It crashed servers; the next one is tried after this.
    Quarantined { remaining: Duration },
    /// It may have crashed a server, and is being tried by itself.
    AlreadyInFlight,
}

impl Denial {
    /// The code that its caller is told.
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::Quarantined { .. } => Code::Quarantined,
            Self::AlreadyInFlight => Code::OnTrial,
        }
    }

    /// When to come back.
    #[must_use]
    pub fn retry_after_ms(self) -> u64 {
        let after = match self {
            Self::Quarantined { remaining: left } => left,
            Self::AlreadyInFlight => IN_FLIGHT_RETRY_AFTER,
        };
        u64::try_from(after.as_millis()).unwrap_or(u64::MAX)
    }
}
