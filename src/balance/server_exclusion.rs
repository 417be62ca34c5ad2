//! Listed servers that are given nothing.

/// Why a listed server is given nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerExclusion {
    /// Its availability zone is evacuated.
    pub evacuated: bool,
    /// Another server was listed at its address after it.
    pub superseded: bool,
    /// It said itself that it leaves.
    pub announced_draining: bool,
}

impl ServerExclusion {
    /// Whether there is a reason.
    #[must_use]
    pub const fn any(self) -> bool {
        self.evacuated || self.superseded || self.announced_draining
    }
}
