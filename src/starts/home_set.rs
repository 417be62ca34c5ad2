//! How the homes of a service share the starts on a limited server.

/// The homes that share the starts, as this instance sees them.
///
/// The homes are ranked by a hash per server, so an instance with a larger share of one server has
/// a smaller share of another, without coordination.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeSet {
    /// Incarnations of the homes; `None` while this instance knows no other and may be one of many.
    pub homes: Option<Vec<u64>>,
    /// Incarnation of this instance.
    pub own: u64,
}

/// Share of one instance in the starts on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartShare {
    /// Knows no other instance but may be one of many: it may start one request.
    #[default]
    Alone,
    /// Is not a home and may start none.
    NotHome,
    /// Is a home, with this rank from 0 among this number of homes.
    Home { homes: u32, rank: u32 },
}

fn rank_hash(server_key: u32, home: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&home.to_le_bytes(), u64::from(server_key))
}

impl HomeSet {
    /// The share of this instance in the starts on the server with this key.
    #[must_use]
    pub fn start_share(&self, server_key: u32) -> StartShare {
        let Some(homes) = &self.homes else {
            return StartShare::Alone;
        };
        if !homes.contains(&self.own) {
            return StartShare::NotHome;
        }
        let own_hash = rank_hash(server_key, self.own);
        let before = homes.iter().filter(|home| rank_hash(server_key, **home) < own_hash).count();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        StartShare::Home { homes: count(homes.len()), rank: count(before) }
    }
}

impl StartShare {
    /// Number of homes that share the starts, as far as known.
    #[must_use]
    pub const fn homes(self) -> u32 {
        match self {
            Self::Alone | Self::NotHome => 1,
            Self::Home { homes, .. } => homes,
        }
    }

    /// The part of `starts` that belongs to this instance. The remainder of the division goes to
    /// the lowest ranks.
    #[must_use]
    pub fn of(self, starts: u32) -> u32 {
        match self {
            Self::Alone => starts.min(1),
            Self::NotHome => 0,
            Self::Home { homes, rank } => starts / homes + u32::from(rank < starts % homes),
        }
    }
}
