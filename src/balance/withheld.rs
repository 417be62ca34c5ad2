//! Listed servers that are given nothing.

/// Why a listed server is given nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Withheld {
    /// Its availability zone is evacuated.
    pub evacuated: bool,
    /// Another server was listed at its address after it.
    pub superseded: bool,
    /// It said itself that it leaves.
    pub leaving: bool,
}

impl Withheld {
    /// Whether there is a reason.
    #[must_use]
    pub const fn any(self) -> bool {
        self.evacuated || self.superseded || self.leaving
    }
}
