//! Members whose rows are still to be told to others.

use std::collections::BTreeSet;
use std::collections::HashMap;

use smallvec::SmallVec;

/// Members that wait at most. More come at once only when many instances start or stop; then
/// comparing whole tables costs less, and rumours would fill every ping for minutes: 470 members told
/// nine times each by each of 470 instances are 180 MB.
const QUEUE_MAX: usize = 8;

/// How often each member's row is still to be told.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    sends_left: HashMap<u64, u32>,
    /// The same, those told least last.
    by_sends_left: BTreeSet<(u32, u64)>,
}

impl GossipQueue {
    /// A row is to be told so often from now on. Of too many, those that were told most are left to
    /// comparisons.
    pub(super) fn set(&mut self, incarnation: u64, sends: u32) {
        if let Some(previous) = self.sends_left.remove(&incarnation) {
            self.by_sends_left.remove(&(previous, incarnation));
        }
        if sends == 0 {
            return;
        }
        self.sends_left.insert(incarnation, sends);
        self.by_sends_left.insert((sends, incarnation));
        if self.by_sends_left.len() > QUEUE_MAX
            && let Some((_, fewest_left)) = self.by_sends_left.pop_first()
        {
            self.sends_left.remove(&fewest_left);
        }
    }

    /// Up to `most` members to tell of now, those told least first.
    pub(super) fn take(&mut self, most: usize) -> SmallVec<[u64; 8]> {
        let next: SmallVec<[(u32, u64); 8]> =
            self.by_sends_left.iter().rev().take(most).copied().collect();
        for (sends, incarnation) in &next {
            self.set(*incarnation, sends - 1);
        }
        next.into_iter().map(|(_, incarnation)| incarnation).collect()
    }
}
