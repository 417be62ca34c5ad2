//! When a request is known to crash servers; no I/O.

use std::time::Duration;

use smallvec::SmallVec;

use super::Crash;
use super::Fingerprint;
use super::FingerprintScope;
use super::SuspectRecord;
use super::suspect_row::Crashes;

/// Crashes that convict. A request that shared a server with the one at fault is sent again once or
/// twice, so it rarely meets three.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Levels over which these are spread at least. Many equal requests that run when all servers lose
/// power are no cause of it; only a repeat that ends one more server tells them apart.
const LEVELS_TO_QUARANTINE: u16 = 2;
/// Variants over which the crashes of a wide fingerprint are spread at least: while all came from one
/// caller, others that ask the same are not concerned, and while all had one query, other queries.
const VARIANTS_TO_QUARANTINE: usize = 2;
/// Crashes from which on a request is sent once at a time: whatever becomes of the next ones, three
/// can be known before more than one follows.
const CRASHES_TO_SERIALIZE: usize = 2;
/// Crashes that are kept where they do not convict, of the highest levels.
const CRASHES_KEPT: usize = 4;
/// For how long the first conviction holds: long against the patience of any caller, short against
/// the time in which a server is mended and its operators wonder about refusals.
const FIRST_BLOCK: Duration = Duration::from_mins(10);
/// Each further conviction holds so many times as long: a request that is never mended ends no more
/// than three servers in two days after its first conviction.
const BLOCK_GROWTH_FACTOR: u32 = 6;
/// Convictions after which the hold grows no more; it is three months then.
const BLOCK_GROWTHS_MAX: u16 = 6;
/// Where nothing else is answered either, a request that would be convicted is only paused, until
/// something is; the first time for so long at most, longer than all instances take to hear of it.
const FIRST_PAUSE: Duration = Duration::from_secs(4);
/// Each further pause lasts so many times as long: where nothing else is asked, so that nothing can be
/// answered, a request that crashes servers ends three more of them in a minute.
const PAUSE_GROWTH_FACTOR: u32 = 3;
/// Pauses after which they grow no more; one is as long as a conviction then.
const PAUSE_GROWTHS_MAX: u32 = 4;
/// A crash is forgotten after this, unless another follows.
const CRASH_EXPIRY: Duration = Duration::from_mins(10);

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPolicy {
    /// Nothing speaks against it.
    Unrestricted,
    /// Servers ended under it: it is sent once at a time.
    OneAtATime,
    /// It is refused for so long.
    Blocked { remaining: Duration },
}

/// What is known of one request under which servers ended.
///
/// Merging is the maximum of each part, so words may come late, twice and in any order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRequest {
    scope: FingerprintScope,
    /// Sorted; all above `settled_level`, and none while a conviction stands.
    crashes: Crashes,
    settled_level: u16,
    quarantine_count: u16,
    release_count: u16,
    /// Of the last crash that counted, or conviction.
    last_change_us: u64,
    /// Known to this instance only, as the two are guesses of the moment.
    paused_until_us: u64,
    pause_count: u32,
}

impl SuspectRequest {
    /// Nothing is known yet; what will be is as old as `news_us` at least.
    #[must_use]
    pub fn new(scope: FingerprintScope, last_change_us: u64) -> Self {
        let crashes = Crashes::new();
        Self {
            scope,
            crashes,
            settled_level: 0,
            quarantine_count: 0,
            release_count: 0,
            last_change_us,
            paused_until_us: 0,
            pause_count: 0,
        }
    }

    /// The highest level of a crash known so far.
    #[must_use]
    pub fn level(&self) -> u16 {
        self.crashes.last().map_or(self.settled_level, |last| last.level)
    }

    const fn quarantined(&self) -> bool {
        self.quarantine_count > self.release_count
    }

    fn block_duration(&self) -> Duration {
        let growths = self.quarantine_count.saturating_sub(1).min(BLOCK_GROWTHS_MAX);
        FIRST_BLOCK * BLOCK_GROWTH_FACTOR.pow(u32::from(growths))
    }

    /// For how long a conviction still holds; nothing where there is none.
    fn block_remaining(&self, now_us: u64) -> Duration {
        let hold = if self.quarantined() { self.block_duration() } else { Duration::ZERO };
        hold.saturating_sub(self.age(now_us))
    }

    fn age(&self, now_us: u64) -> Duration {
        Duration::from_micros(now_us.saturating_sub(self.last_change_us))
    }

    /// What may be done with it now.
    #[must_use]
    pub fn send_policy(&self, now_us: u64) -> SendPolicy {
        let pause = Duration::from_micros(self.paused_until_us.saturating_sub(now_us));
        let left = self.block_remaining(now_us).max(pause);
        if !left.is_zero() {
            return SendPolicy::Blocked { remaining: left };
        }
        if self.quarantined() {
            return SendPolicy::OneAtATime;
        }
        let watched = match self.scope {
            FingerprintScope::Exact => self.crashes.len() >= CRASHES_TO_SERIALIZE,
            // Of these there may be many at any moment, and most have nothing to do with a crash.
            FingerprintScope::Caller | FingerprintScope::Content => {
                self.is_likely_cause(CRASHES_TO_SERIALIZE)
            }
        };
        if watched { SendPolicy::OneAtATime } else { SendPolicy::Unrestricted }
    }

    /// Whether there are so many crashes, and spread so that the request is their likely cause.
    fn is_likely_cause(&self, crashes_min: usize) -> bool {
        let levels = self.level().saturating_sub(self.settled_level);
        let mut variants: SmallVec<[u32; 4]> = self.crashes.iter().map(|c| c.variant).collect();
        variants.sort_unstable();
        variants.dedup();
        let wide = self.scope != FingerprintScope::Exact;
        let variants_needed = if wide { VARIANTS_TO_QUARANTINE } else { 1 };
        self.crashes.len() >= crashes_min
            && levels >= LEVELS_TO_QUARANTINE
            && variants.len() >= variants_needed
    }

    /// Whether it can be forgotten.
    #[must_use]
    pub fn expired(&self, now_us: u64) -> bool {
        let life = if self.quarantined() { self.block_duration() * 2 } else { CRASH_EXPIRY };
        self.age(now_us) >= life
    }

    /// A server ended under it. `others_served` tells whether other requests of its service were
    /// answered since it became suspect: where they were not, all of them crash servers, and this one
    /// is no more to blame than the rest. Tells whether the crash convicts it.
    pub fn record_crash(&mut self, crash: Crash, others_served: bool, now_us: u64) -> bool {
        if !self.block_remaining(now_us).is_zero() {
            // It was sent before the conviction.
            return false;
        }
        if self.quarantined() {
            return self.quarantine_or_pause(others_served, now_us);
        }
        if self.add_crash(crash) {
            self.last_change_us = now_us;
        }
        self.evaluate(others_served, now_us)
    }

    /// A server answered it, which was sent when crashes up to `known_level` were known: those were
    /// not its doing. Tells whether that changed anything.
    pub fn record_response(&mut self, known_level: u16, now_us: u64) -> bool {
        if !self.block_remaining(now_us).is_zero() {
            // A word from before the conviction.
            return false;
        }
        let before = (self.settled_level, self.release_count);
        self.release_count = self.quarantine_count;
        self.discard_crashes_up_to(known_level);
        self.pause_count = 0;
        self.paused_until_us = 0;
        before != (self.settled_level, self.release_count)
    }

    /// Other requests of its service are answered: it need not pause any longer, and is tried.
    pub const fn end_pause(&mut self) {
        self.paused_until_us = 0;
    }

    fn discard_crashes_up_to(&mut self, level: u16) {
        self.settled_level = self.settled_level.max(level);
        let settled_level = self.settled_level;
        self.crashes.retain(|crash| crash.level > settled_level);
    }

    /// Keeps a crash that counts; tells whether it is new.
    fn add_crash(&mut self, crash: Crash) -> bool {
        if crash.level <= self.settled_level {
            return false;
        }
        let Err(at) = self.crashes.binary_search(&crash) else {
            return false;
        };
        self.crashes.insert(at, crash);
        true
    }

    /// Convicts it if its crashes suffice; of those that do not, only as many are kept as may.
    fn evaluate(&mut self, others_served: bool, now_us: u64) -> bool {
        if self.is_likely_cause(CRASHES_TO_QUARANTINE)
            && self.quarantine_or_pause(others_served, now_us)
        {
            return true;
        }
        let surplus = self.crashes.len().saturating_sub(CRASHES_KEPT);
        self.crashes.drain(..surplus);
        false
    }

    fn quarantine_or_pause(&mut self, others_served: bool, now_us: u64) -> bool {
        if others_served {
            self.quarantine_count = self.quarantine_count.saturating_add(1);
            self.last_change_us = now_us;
            self.discard_crashes_up_to(self.level());
            return true;
        }
        let pause = FIRST_PAUSE * PAUSE_GROWTH_FACTOR.pow(self.pause_count.min(PAUSE_GROWTHS_MAX));
        self.pause_count = self.pause_count.saturating_add(1);
        self.paused_until_us = now_us + u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
        false
    }

    /// Takes in what another instance knows; tells whether that convicts it here. One instance may
    /// know of the crashes, and another of what was served meanwhile.
    pub fn merge(&mut self, row: &SuspectRecord, others_served: bool, now_us: u64) -> bool {
        self.quarantine_count = self.quarantine_count.max(row.quarantine_count);
        self.release_count = self.release_count.max(row.release_count);
        self.discard_crashes_up_to(row.settled_level);
        let mut new = false;
        for crash in &row.crashes {
            new |= self.add_crash(*crash);
        }
        self.last_change_us = self.last_change_us.max(row.last_change_us(now_us));
        if self.quarantined() {
            self.discard_crashes_up_to(self.level());
        }
        new && self.evaluate(others_served, now_us)
    }

    /// As it is told to other instances.
    #[must_use]
    pub fn record(&self, fingerprint: Fingerprint, now_us: u64) -> SuspectRecord {
        SuspectRecord {
            fingerprint,
            service: 0,
            crashes: self.crashes.clone(),
            settled_level: self.settled_level,
            quarantine_count: self.quarantine_count,
            release_count: self.release_count,
            age_ms: u64::try_from(self.age(now_us).as_millis()).unwrap_or(u64::MAX),
        }
    }
}
