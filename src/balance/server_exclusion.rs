//! Listed servers that get no requests.

/// Reasons why a listed server gets no requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerExclusion {
    /// Its availability zone is evacuated.
    pub evacuated: bool,
    /// Another server was listed later at the same address.
    pub superseded: bool,
    /// The server announced that it drains.
    pub announced_draining: bool,
}

impl ServerExclusion {
    /// Whether any reason applies.
    #[must_use]
    pub const fn any(self) -> bool {
        self.evacuated || self.superseded || self.announced_draining
    }
}
