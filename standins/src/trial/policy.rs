//! The load-balancing policies that a simulation compares.

use clap::ValueEnum;

/// Who sees which server, and how requests are bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// Callers spray over all instances; each goes round the servers. The naive version.
    SprayRoundRobin,
    /// As above; the better of two random servers by own requests in flight.
    SprayTwoChoices,
    /// As above; the server with the fewest own requests in flight.
    SprayLeast,
    /// Homes that each use all servers, the least loaded by own requests, no waiting here.
    HomesLeast,
    /// Homes with keepers, late binding, nothing passed between homes.
    Keepers,
    /// Keepers, and a home without a free slot passes on to one that told of free slots.
    KeepersSpill,
    /// As above, and a queued request moves on when another home tells of free slots.
    KeepersPull,
    /// One home keeps all servers.
    OneHome,
    /// As `KeepersPull`, with hedges.
    KeepersPullHedge,
    /// As `OneHome`, with hedges.
    OneHomeHedge,
    /// Knows every slot and every slow server at no delay; no hedges.
    Oracle,
}

impl Policy {
    /// Whether callers go to any instance rather than to homes.
    #[must_use]
    pub const fn sprays(self) -> bool {
        matches!(self, Self::SprayRoundRobin | Self::SprayTwoChoices | Self::SprayLeast)
    }

    /// Whether requests wait at the home for a slot.
    #[must_use]
    pub const fn queues_at_home(self) -> bool {
        !self.sprays() && !matches!(self, Self::HomesLeast)
    }

    /// Whether one place decides for all servers.
    #[must_use]
    pub const fn has_single_home(self) -> bool {
        matches!(self, Self::OneHome | Self::OneHomeHedge | Self::Oracle)
    }

    /// Whether homes pass requests on when they arrive.
    #[must_use]
    pub const fn forwards_new_requests(self) -> bool {
        matches!(self, Self::KeepersSpill | Self::KeepersPull | Self::KeepersPullHedge)
    }

    /// Whether homes pass requests on that wait already.
    #[must_use]
    pub const fn forwards_queued_requests(self) -> bool {
        matches!(self, Self::KeepersPull | Self::KeepersPullHedge)
    }

    /// Whether slow attempts are joined by a second.
    #[must_use]
    pub const fn hedges(self) -> bool {
        matches!(self, Self::KeepersPullHedge | Self::OneHomeHedge)
    }
}
