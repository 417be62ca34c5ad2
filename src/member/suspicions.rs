//! The suspected members, in the order in which their suspicions time out.

use std::collections::BTreeSet;

/// A suspect that only others reported is declared dead after this many timeouts, in case those
/// that could not reach it have ended themselves.
const REPORTED_TIMEOUT_FACTOR: u64 = 3;

/// Members by the time at which they entered their state, as (time, incarnation).
pub(super) type MembersBySince = BTreeSet<(u64, u64)>;

/// The incarnations whose time is at least `least_ms` ago, the oldest first.
pub(super) fn older_than(members: &MembersBySince, least_ms: u64, now_ms: u64) -> Vec<u64> {
    let old = |entry: &&(u64, u64)| now_ms.saturating_sub(entry.0) >= least_ms;
    members.iter().take_while(old).map(|(_, incarnation)| *incarnation).collect()
}

/// The suspected members.
///
/// A suspect that only others reported gets more time: those that could not reach it also see first
/// that it answers again. The more instances judge by the word of others, the more likely one of
/// them has not read its refutation in time.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicions {
    /// Suspects that this instance could not reach.
    confirmed: MembersBySince,
    /// Suspects that only others reported.
    reported: MembersBySince,
}

impl Suspicions {
    /// Adds a suspect that this instance has not failed to reach so far.
    pub(super) fn insert(&mut self, since_ms: u64, incarnation: u64) {
        self.reported.insert((since_ms, incarnation));
    }

    /// Removes a member, if it is a suspect.
    pub(super) fn remove(&mut self, since_ms: u64, incarnation: u64) {
        self.confirmed.remove(&(since_ms, incarnation));
        self.reported.remove(&(since_ms, incarnation));
    }

    /// Records that this instance could not reach a suspect either, whose timeout begins anew;
    /// returns whether that changed anything.
    pub(super) fn confirm(&mut self, since_ms: u64, incarnation: u64, now_ms: u64) -> bool {
        let was_reported = self.reported.remove(&(since_ms, incarnation));
        if was_reported {
            self.confirmed.insert((now_ms, incarnation));
        }
        was_reported
    }

    /// The suspects whose timeout has passed.
    pub(super) fn timed_out(&self, timeout_ms: u64, now_ms: u64) -> Vec<u64> {
        let mut timed_out = older_than(&self.confirmed, timeout_ms, now_ms);
        let reported_timeout_ms = timeout_ms * REPORTED_TIMEOUT_FACTOR;
        timed_out.extend(older_than(&self.reported, reported_timeout_ms, now_ms));
        timed_out
    }

    /// Makes all suspicions begin later by `delay_ms`, but not after `now_ms`; returns them as (new
    /// time, incarnation).
    pub(super) fn delay(&mut self, delay_ms: u64, now_ms: u64) -> Vec<(u64, u64)> {
        for members in [&mut self.confirmed, &mut self.reported] {
            let delayed = std::mem::take(members).into_iter();
            *members = delayed
                .map(|(since_ms, incarnation)| ((since_ms + delay_ms).min(now_ms), incarnation))
                .collect();
        }
        self.confirmed.union(&self.reported).copied().collect()
    }

    /// Whether there is no suspect.
    pub(super) fn is_empty(&self) -> bool {
        self.confirmed.is_empty() && self.reported.is_empty()
    }
}
