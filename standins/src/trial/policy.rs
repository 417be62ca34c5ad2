//! The load-balancing policies that a simulation compares.

use clap::ValueEnum;

/// Which instances use which servers, and where requests queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// Callers use any instance of their zone; each instance uses all servers round-robin. The baseline.
    SprayRoundRobin,
    /// As above, but the better of two random servers by the instance's own requests in flight.
    SprayTwoChoices,
    /// As above, but the server with the fewest own requests in flight.
    SprayLeast,
    /// Callers use homes; each home uses all servers, by fewest own requests in flight, without a queue.
    HomesLeast,
    /// Each server has one home, its keeper; requests queue at the home and are not forwarded.
    Keepers,
    /// As `Keepers`; a home without a free slot forwards to one that reported free slots.
    KeepersSpill,
    /// As above; a queued request is also forwarded when another home reports free slots.
    KeepersPull,
    /// One home is the keeper of all servers.
    OneHome,
    /// As `KeepersPull`, with hedges.
    KeepersPullHedge,
    /// As `OneHome`, with hedges.
    OneHomeHedge,
    /// Knows the state of each server without delay; no hedges.
    Oracle,
}

impl Policy {
    /// Whether callers use any instance instead of homes.
    #[must_use]
    pub const fn sprays(self) -> bool {
        matches!(self, Self::SprayRoundRobin | Self::SprayTwoChoices | Self::SprayLeast)
    }

    /// Whether requests queue at the home until a slot is free.
    #[must_use]
    pub const fn queues_at_home(self) -> bool {
        !self.sprays() && !matches!(self, Self::HomesLeast)
    }

    /// Whether a single home dispatches to all servers.
    #[must_use]
    pub const fn has_single_home(self) -> bool {
        matches!(self, Self::OneHome | Self::OneHomeHedge | Self::Oracle)
    }

    /// Whether homes forward requests on arrival.
    #[must_use]
    pub const fn forwards_new_requests(self) -> bool {
        matches!(self, Self::KeepersSpill | Self::KeepersPull | Self::KeepersPullHedge)
    }

    /// Whether homes forward queued requests.
    #[must_use]
    pub const fn forwards_queued_requests(self) -> bool {
        matches!(self, Self::KeepersPull | Self::KeepersPullHedge)
    }

    /// Whether slow attempts are hedged.
    #[must_use]
    pub const fn hedges(self) -> bool {
        matches!(self, Self::KeepersPullHedge | Self::OneHomeHedge)
    }
}
