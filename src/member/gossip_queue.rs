//! The queue of members whose rows are still to be gossiped.

use std::collections::BTreeSet;
use std::collections::HashMap;

use smallvec::SmallVec;

/// Most members in the queue. More change at once only when many instances start or stop. Then
/// anti-entropy costs less, and gossip would fill every ping for minutes: 470 members sent nine
/// times each by each of 470 instances are 180 MB.
const QUEUE_MAX: usize = 8;

/// How many times each member's row is still to be sent.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    /// Sends left of each member, by incarnation.
    sends_left: HashMap<u64, u32>,
    /// The same as (sends left, incarnation); the row sent least often comes last.
    by_sends_left: BTreeSet<(u32, u64)>,
}

impl GossipQueue {
    /// Sets how many times a row is to be sent; 0 removes it. If the queue is full, the row with
    /// the fewest sends left is dropped and reaches others by anti-entropy.
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

    /// Takes up to `most` members whose rows are to be sent now, those sent least often first.
    pub(super) fn take(&mut self, most: usize) -> SmallVec<[u64; 8]> {
        let next: SmallVec<[(u32, u64); 8]> =
            self.by_sends_left.iter().rev().take(most).copied().collect();
        for (sends, incarnation) in &next {
            self.set(*incarnation, sends - 1);
        }
        next.into_iter().map(|(_, incarnation)| incarnation).collect()
    }
}
