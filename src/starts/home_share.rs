//! Who may start requests at a server that bears only some.

/// The homes that share the starts, as this instance sees them.
///
/// Each server ranks the homes by a hash of its own, so who has more of one server's starts has less
/// of another's, and no word between them is needed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeShare {
    /// Homes by incarnation; `None` while this instance knows no other and may be one of many.
    pub homes: Option<Vec<u64>>,
    /// Incarnation of this instance.
    pub own: u64,
}

/// The part of one instance in the starts at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartShare {
    /// It knows no other instance, and may be one of many: it may start one.
    #[default]
    Alone,
    /// It is no home, and may start none.
    NotHome,
    /// It is the home of this rank, from 0, among so many.
    Home { homes: u32, rank: u32 },
}

fn rank_hash(server_key: u32, home: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&home.to_le_bytes(), u64::from(server_key))
}

impl HomeShare {
    /// The part of this instance at the server that `server_key` names.
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
    /// Homes that share the starts, as far as known.
    #[must_use]
    pub const fn homes(self) -> u32 {
        match self {
            Self::Alone | Self::NotHome => 1,
            Self::Home { homes, .. } => homes,
        }
    }

    /// Of so many starts those of this instance; the first homes get what does not divide evenly.
    #[must_use]
    pub fn of(self, starts: u32) -> u32 {
        match self {
            Self::Alone => starts.min(1),
            Self::NotHome => 0,
            Self::Home { homes, rank } => starts / homes + u32::from(rank < starts % homes),
        }
    }
}
