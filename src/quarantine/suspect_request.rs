//! Decides when a request is known to crash servers; no I/O.

use std::time::Duration;

use smallvec::SmallVec;

use super::Crash;
use super::Fingerprint;
use super::FingerprintScope;
use super::SuspectRecord;
use super::suspect_record::Crashes;

/// Crashes after which a request is quarantined. A harmless request that shared a server with the
/// one at fault is sent again once or twice, so it rarely takes part in three crashes.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Levels that these crashes must span. Many equal requests that run when all servers lose power
/// are not the cause; only a later repeat that crashes one more server shows that the request is.
const LEVELS_TO_QUARANTINE: u16 = 2;
/// Variants that the crashes of a `Caller` or `Content` fingerprint must span: if all crashes
/// came from one caller, the same request of other callers is still sent, and if all had one
/// query, so are other queries.
const VARIANTS_TO_QUARANTINE: usize = 2;
/// Crashes after which a request is sent one at a time, so that the third crash is known before
/// more than one further copy is sent.
const CRASHES_TO_SERIALIZE: usize = 2;
/// Crashes kept while they do not suffice for a quarantine; those of the highest levels are kept.
const CRASHES_KEPT: usize = 4;
/// Block time of the first quarantine: longer than callers keep retrying, and over before operators
/// have fixed the server and wonder why the request is still rejected.
const FIRST_BLOCK: Duration = Duration::from_mins(10);
/// Factor by which each further quarantine lasts longer: a request whose fault is never fixed
/// crashes at most three servers in the two days after its first quarantine.
const BLOCK_GROWTH_FACTOR: u32 = 6;
/// Number of times that the block time grows; it is 324 days then.
const BLOCK_GROWTHS_MAX: u16 = 6;
/// While no other request of the service gets a response either, a request is paused instead of
/// quarantined, until one does. The first pause lasts at most this long, which is longer than
/// gossip takes to reach all instances.
const FIRST_PAUSE: Duration = Duration::from_secs(4);
/// Factor by which each further pause lasts longer: where no other requests are sent, so that none
/// can get a response, a request that crashes servers crashes three more of them in a minute.
const PAUSE_GROWTH_FACTOR: u32 = 3;
/// Number of times that pauses grow; one lasts 324 s then.
const PAUSE_GROWTHS_MAX: u32 = 4;
/// Crashes expire after this time without another one.
const CRASH_EXPIRY: Duration = Duration::from_mins(10);

/// Whether and how a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPolicy {
    /// It may be sent.
    Unrestricted,
    /// It may have crashed servers: only one copy may be in flight at a time.
    OneAtATime,
    /// It is rejected for the `remaining` time.
    Blocked { remaining: Duration },
}

/// Crash history of a request that servers crashed under.
///
/// Each field is merged by its maximum, so updates may arrive late, twice and in any order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRequest {
    scope: FingerprintScope,
    /// Sorted; all above `settled_level`, and empty while the request is quarantined.
    crashes: Crashes,
    /// Crashes up to this level no longer count.
    settled_level: u16,
    quarantine_count: u16,
    /// Quarantines that a response has ended.
    release_count: u16,
    /// Time of the last crash that counted, or of the last quarantine.
    last_change_us: u64,
    /// End of the pause. Neither this nor `pause_count` is gossiped: both reflect what this
    /// instance sees at the moment.
    paused_until_us: u64,
    pause_count: u32,
}

impl SuspectRequest {
    /// A history without crashes, last changed at `last_change_us`.
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

    /// Highest crash level known so far.
    #[must_use]
    pub fn level(&self) -> u16 {
        self.crashes.last().map_or(self.settled_level, |last| last.level)
    }

    /// Whether a quarantine stands, even if its block time is over.
    const fn quarantined(&self) -> bool {
        self.quarantine_count > self.release_count
    }

    /// Whether no crash counts against the request.
    #[must_use]
    pub fn is_cleared(&self) -> bool {
        self.crashes.is_empty() && !self.quarantined()
    }

    fn block_duration(&self) -> Duration {
        let growths = self.quarantine_count.saturating_sub(1).min(BLOCK_GROWTHS_MAX);
        FIRST_BLOCK * BLOCK_GROWTH_FACTOR.pow(u32::from(growths))
    }

    /// Remaining block time of the quarantine; zero if there is none.
    fn block_remaining(&self, now_us: u64) -> Duration {
        let block = if self.quarantined() { self.block_duration() } else { Duration::ZERO };
        block.saturating_sub(self.age(now_us))
    }

    fn age(&self, now_us: u64) -> Duration {
        Duration::from_micros(now_us.saturating_sub(self.last_change_us))
    }

    /// Whether and how the request may be sent now.
    #[must_use]
    pub fn send_policy(&self, now_us: u64) -> SendPolicy {
        let pause = Duration::from_micros(self.paused_until_us.saturating_sub(now_us));
        let remaining = self.block_remaining(now_us).max(pause);
        if !remaining.is_zero() {
            return SendPolicy::Blocked { remaining };
        }
        if self.quarantined() {
            return SendPolicy::OneAtATime;
        }
        let one_at_a_time = match self.scope {
            FingerprintScope::Exact => self.crashes.len() >= CRASHES_TO_SERIALIZE,
            // Many such requests may run at any moment, and most have nothing to do with a crash.
            FingerprintScope::Caller | FingerprintScope::Content => {
                self.is_likely_cause(CRASHES_TO_SERIALIZE)
            }
        };
        if one_at_a_time { SendPolicy::OneAtATime } else { SendPolicy::Unrestricted }
    }

    /// Whether there are at least `crashes_min` crashes, spread over enough levels and variants to
    /// make the request their likely cause.
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

    /// Whether the history can be removed.
    #[must_use]
    pub fn expired(&self, now_us: u64) -> bool {
        let expiry = if self.quarantined() { self.block_duration() * 2 } else { CRASH_EXPIRY };
        self.age(now_us) >= expiry
    }

    /// Records that a server crashed while the request ran; returns whether this quarantines it.
    ///
    /// `others_served` tells whether other requests of the service got responses since this one
    /// became suspect. If not, all of them may crash servers, and this one is no more to blame than
    /// the rest.
    pub fn record_crash(&mut self, crash: Crash, others_served: bool, now_us: u64) -> bool {
        if !self.block_remaining(now_us).is_zero() {
            // It was sent before the quarantine.
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

    /// Records a response to a send that started when crashes up to `known_level` were known: the
    /// request did not cause those. Returns whether anything changed.
    pub fn record_response(&mut self, known_level: u16, now_us: u64) -> bool {
        if !self.block_remaining(now_us).is_zero() {
            // The response belongs to a send from before the quarantine.
            return false;
        }
        let before = (self.settled_level, self.release_count);
        self.release_count = self.quarantine_count;
        self.settle(known_level);
        before != (self.settled_level, self.release_count)
    }

    /// Ends a pause, once other requests of the service get responses.
    pub const fn end_pause(&mut self) {
        self.paused_until_us = 0;
    }

    /// The request did not cause the crashes up to `level`, so they give no reason for a pause.
    fn settle(&mut self, level: u16) {
        self.discard_crashes_up_to(level);
        self.pause_count = 0;
        self.paused_until_us = 0;
    }

    fn discard_crashes_up_to(&mut self, level: u16) {
        self.settled_level = self.settled_level.max(level);
        let settled_level = self.settled_level;
        self.crashes.retain(|crash| crash.level > settled_level);
    }

    /// Adds a crash above `settled_level`; returns whether it is new.
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

    /// Quarantines or pauses the request if its crashes suffice, and returns whether it is
    /// quarantined. If not, only the last [`CRASHES_KEPT`] crashes are kept.
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

    /// Returns whether the request is quarantined; otherwise it is paused.
    fn quarantine_or_pause(&mut self, others_served: bool, now_us: u64) -> bool {
        if others_served {
            self.quarantine_count = self.quarantine_count.saturating_add(1);
            self.last_change_us = now_us;
            self.discard_crashes_up_to(self.level());
            return true;
        }
        if now_us < self.paused_until_us {
            // A crash of the outage that led to the pause; only one after a pause makes it longer.
            return false;
        }
        let pause = FIRST_PAUSE * PAUSE_GROWTH_FACTOR.pow(self.pause_count.min(PAUSE_GROWTHS_MAX));
        self.pause_count = self.pause_count.saturating_add(1);
        self.paused_until_us = now_us + u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
        false
    }

    /// Merges the record of another instance; returns whether this quarantines the request. One
    /// instance may know of the crashes, and another of the responses to other requests.
    pub fn merge(&mut self, record: &SuspectRecord, others_served: bool, now_us: u64) -> bool {
        self.quarantine_count = self.quarantine_count.max(record.quarantine_count);
        self.release_count = self.release_count.max(record.release_count);
        if record.settled_level > self.settled_level {
            self.settle(record.settled_level);
        }
        let mut new = false;
        for crash in &record.crashes {
            new |= self.add_crash(*crash);
        }
        self.last_change_us = self.last_change_us.max(record.last_change_us(now_us));
        if self.quarantined() {
            self.discard_crashes_up_to(self.level());
        }
        new && self.evaluate(others_served, now_us)
    }

    /// Record for other instances; the table fills in the service.
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
