//! A count whose parts expire at different times.

use std::collections::VecDeque;

/// A part of the count.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// Last moment at which it counts.
    until_us: u64,
    count: u32,
}

/// A sum of parts; there is one part for each distinct time of expiry.
#[derive(Debug, Default)]
pub(super) struct ExpiringCount {
    /// In the order in which they were added, which is about that of their expiry.
    parts: VecDeque<Part>,
}

impl ExpiringCount {
    pub(super) fn add(&mut self, count: u32, until_us: u64, now_us: u64) {
        self.remove_expired(now_us);
        match self.parts.back_mut().filter(|last| last.until_us == until_us) {
            Some(last) => last.count = last.count.saturating_add(count),
            None => self.parts.push_back(Part { until_us, count }),
        }
    }

    /// The sum of the parts that still count at `at_us`.
    pub(super) fn total(&self, at_us: u64) -> u64 {
        let counting = self.parts.iter().filter(|part| part.until_us >= at_us);
        counting.map(|part| u64::from(part.count)).sum()
    }

    /// Subtracts one; `false` if nothing is left.
    pub(super) fn take_one(&mut self, now_us: u64) -> bool {
        self.remove_expired(now_us);
        let counts = |part: &&mut Part| part.until_us >= now_us && part.count > 0;
        let Some(part) = self.parts.iter_mut().find(counts) else {
            return false;
        };
        part.count -= 1;
        true
    }

    fn remove_expired(&mut self, now_us: u64) {
        while self.parts.front().is_some_and(|part| part.until_us < now_us || part.count == 0) {
            self.parts.pop_front();
        }
    }
}
