//! Tokens that other instances lent.

/// Borrowed tokens of one workspace, which expire unless they are used in time.
///
/// Kept in two generations: tokens expire after one to two terms, however often some are added.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BorrowedTokens {
    older: f64,
    newer: f64,
    newer_since_us: u64,
}

impl BorrowedTokens {
    /// Drops the tokens whose term is over.
    pub(super) const fn expire(&mut self, term_us: u64, now_us: u64) {
        let age_us = now_us.saturating_sub(self.newer_since_us);
        if age_us < term_us {
            return;
        }
        self.older = if age_us < 2 * term_us { self.newer } else { 0.0 };
        self.newer = 0.0;
        self.newer_since_us = now_us;
    }

    /// Tokens that can be used now.
    pub(super) fn count(&self) -> f64 {
        self.older + self.newer
    }

    pub(super) fn add(&mut self, tokens: f64) {
        self.newer += tokens;
    }

    /// Takes one token, if there is one, from the oldest; returns whether there was one.
    pub(super) fn take(&mut self) -> bool {
        if self.count() < 1.0 {
            return false;
        }
        let from_older = self.older.min(1.0);
        self.older -= from_older;
        self.newer -= 1.0 - from_older;
        true
    }
}
