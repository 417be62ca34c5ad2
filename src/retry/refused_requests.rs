//! Remembers refused requests for a short time, to recognize their callers when they retry.

use std::collections::HashMap;
use std::collections::VecDeque;

use smallvec::SmallVec;

use super::RequestHash;

/// Time after a refusal, in microseconds, in which its caller's retry is recognized.
const REMEMBERED_US: u64 = 5_000_000;
/// Maximum number of remembered refusals; the oldest are forgotten first.
const REFUSALS_MAX: usize = 16_384;
/// Time after a refusal, in microseconds, in which nearly all callers that retry have done so.
const RETURN_EXPECTED_US: u64 = 1_000_000;
/// Weight of the latest caller in the moving share of those that come back.
const RETURN_SHARE_WEIGHT: f64 = 1.0 / 64.0;

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
#[derive(Debug)]
pub struct RefusedRequests {
    by_hash: HashMap<RequestHash, SmallVec<[EarlierAttempt; 1]>>,
    /// All refusals that were recorded, in order, including those whose callers came back.
    recorded: VecDeque<Refusal>,
    /// How many of the oldest refusals in `recorded` are so old that their callers should have come
    /// back.
    overdue: usize,
    /// Moving share of the callers that come back.
    return_share: f64,
}

/// A refusal, whether its caller has come back or not.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    at_us: u64,
    hash: RequestHash,
    /// Whether it was the caller's first. Callers come back once, so the others tell nothing.
    first: bool,
}

impl Default for RefusedRequests {
    /// No refusals; callers are expected to come back until it shows that they do not.
    fn default() -> Self {
        Self { by_hash: HashMap::new(), recorded: VecDeque::new(), overdue: 0, return_share: 1.0 }
    }
}

impl RefusedRequests {
    /// Records a refusal.
    pub fn record(&mut self, hash: RequestHash, attempt: EarlierAttempt) {
        self.forget_before(attempt.refused_us.saturating_sub(REMEMBERED_US));
        while self.recorded.len() >= REFUSALS_MAX {
            self.forget_oldest();
        }
        self.by_hash.entry(hash).or_default().push(attempt);
        let first = attempt.refusals <= 1;
        self.recorded.push_back(Refusal { at_us: attempt.refused_us, hash, first });
        self.judge_overdue(attempt.refused_us);
    }

    /// Part of the callers that come back after their first refusal, from 0 to 1.
    #[must_use]
    pub const fn return_share(&self) -> f64 {
        self.return_share
    }

    /// Removes and returns the refusal that a request follows; `None` for a first attempt.
    pub fn take(&mut self, hash: RequestHash, now_us: u64) -> Option<EarlierAttempt> {
        self.forget_before(now_us.saturating_sub(REMEMBERED_US));
        self.judge_overdue(now_us);
        let attempts = self.by_hash.get_mut(&hash)?;
        let earlier = (!attempts.is_empty()).then(|| attempts.remove(0));
        if attempts.is_empty() {
            self.by_hash.remove(&hash);
        }
        let in_time = |earlier: EarlierAttempt| now_us <= earlier.refused_us + RETURN_EXPECTED_US;
        if earlier.is_some_and(|earlier| earlier.refusals <= 1 && in_time(earlier)) {
            self.record_return(true);
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
        while self.recorded.front().is_some_and(|refusal| refusal.at_us < before_us) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.recorded.pop_front() else {
            return;
        };
        self.overdue = self.overdue.saturating_sub(1);
        let Some(attempts) = self.by_hash.get_mut(&oldest.hash) else {
            return;
        };
        attempts.retain(|attempt| attempt.refused_us != oldest.at_us);
        if attempts.is_empty() {
            self.by_hash.remove(&oldest.hash);
        }
    }

    /// Counts the callers that should have come back by now and have not.
    fn judge_overdue(&mut self, now_us: u64) {
        while let Some(refusal) = self.recorded.get(self.overdue).copied()
            && refusal.at_us + RETURN_EXPECTED_US < now_us
        {
            self.overdue += 1;
            if refusal.first && self.is_pending(&refusal) {
                self.record_return(false);
            }
        }
    }

    fn is_pending(&self, refusal: &Refusal) -> bool {
        let attempts = self.by_hash.get(&refusal.hash);
        let mut attempts = attempts.into_iter().flatten();
        attempts.any(|attempt| attempt.refused_us == refusal.at_us)
    }

    fn record_return(&mut self, returned: bool) {
        let returned = f64::from(u8::from(returned));
        self.return_share += RETURN_SHARE_WEIGHT * (returned - self.return_share);
    }
}
