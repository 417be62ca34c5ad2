//! Remembers refused requests for a short time, to recognize their callers when they retry.

use std::collections::HashMap;
use std::collections::VecDeque;

use smallvec::SmallVec;

use super::RequestHash;

/// Time after a refusal, in microseconds, in which a retry is recognized. Callers come back within
/// a third of the time that they have left.
const REMEMBERED_US: u64 = 5_000_000;
/// Maximum number of remembered refusals; the oldest are forgotten first.
const REFUSALS_MAX: usize = 16_384;

/// What is known of a request from an attempt that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierAttempt {
    /// When its caller's first attempt arrived, as far as it is known.
    pub first_arrived_us: u64,
    /// When it was last refused.
    pub refused_us: u64,
    /// Refusals so far.
    pub refusals: u32,
}

/// Requests that were refused and have not been retried yet.
///
/// Two callers that look alike have one entry each under the same hash; whichever of them comes
/// first takes the older one.
#[derive(Debug, Default)]
pub struct RefusedRequests {
    by_hash: HashMap<RequestHash, SmallVec<[EarlierAttempt; 1]>>,
    /// All refusals that were recorded, in order, including those whose callers came back.
    recorded: VecDeque<(u64, RequestHash)>,
}

impl RefusedRequests {
    /// Records a refusal.
    pub fn record(&mut self, hash: RequestHash, attempt: EarlierAttempt) {
        self.forget_before(attempt.refused_us.saturating_sub(REMEMBERED_US));
        while self.recorded.len() >= REFUSALS_MAX {
            self.forget_oldest();
        }
        self.by_hash.entry(hash).or_default().push(attempt);
        self.recorded.push_back((attempt.refused_us, hash));
    }

    /// Removes and returns the refusal that a request follows; `None` for a first attempt.
    pub fn take(&mut self, hash: RequestHash, now_us: u64) -> Option<EarlierAttempt> {
        self.forget_before(now_us.saturating_sub(REMEMBERED_US));
        let attempts = self.by_hash.get_mut(&hash)?;
        let earlier = (!attempts.is_empty()).then(|| attempts.remove(0));
        if attempts.is_empty() {
            self.by_hash.remove(&hash);
        }
        earlier
    }

    /// Number of refused requests whose callers have not come back.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_hash.values().map(SmallVec::len).sum()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_hash.is_empty()
    }

    fn forget_before(&mut self, before_us: u64) {
        while self.recorded.front().is_some_and(|(refused_us, _)| *refused_us < before_us) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((refused_us, hash)) = self.recorded.pop_front() else {
            return;
        };
        let Some(attempts) = self.by_hash.get_mut(&hash) else {
            return;
        };
        attempts.retain(|attempt| attempt.refused_us != refused_us);
        if attempts.is_empty() {
            self.by_hash.remove(&hash);
        }
    }
}
