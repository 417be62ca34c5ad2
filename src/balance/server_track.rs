//! What this instance believes of one backend server.

use smallvec::SmallVec;

use super::SendEnd;
use super::ServerHealth;
use super::StartBounds;
use super::Withheld;
use crate::model::LoadReport;
use crate::model::ServerRow;
use crate::model::ServerState;
use crate::peer::ServerLoadRow;

/// A report on requests that no peer told of fades over this time, about one request's work.
const STRAYS_LIFE_US: u64 = 300_000;
/// A pace older than this is not told on: the next health check is due by then.
const PACE_TOLD_US: u64 = 120_000;
/// A report on the pace of the machine is worth a third after this: the neighbours' load that
/// causes it shifts within 100 to 200 ms.
const PACE_LIFE_US: f64 = 150_000.0;
/// How much slower a cold server works, where its own word on its pace is missing or old.
const COLD_PACE: f64 = 2.0;
/// A request is handed over within so long of being given its place; the server is asked for its pace
/// in between.
const HAND_OVER_US: u64 = 30_000;
/// A server that fails all that it gets looks this many times slower, and one more.
const FAILURE_FACTOR: f64 = 5.0;
/// Work that takes this many times as long as usual counts as overdue.
const OVERDUE_FACTOR: f64 = 4.0;
/// Without any word, also to probes, for this many times the usual work, a server in use counts
/// as silent.
const SILENT_FACTOR: f64 = 2.0;
/// Servers close idle connections after some seconds, and one is not used again for the last quarter
/// of that time.
const CONNECTED_US: u64 = 3_000_000;

/// A request that this instance has at the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub ticket: u64,
    pub at_us: u64,
    /// Requests that ran there when it began, itself included, as far as known.
    pub running: u32,
    /// Time for which all slots had been in use until it began.
    full_us: u64,
    /// How much longer work took there than usual when it began.
    pub pace: f64,
}

/// What a peer has at the server.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    from: u64,
    in_flight: u16,
}

/// The hash by which instances name one start of a server to each other. With the time of the start
/// in it, what a peer still tells of the start before is not taken for the new one's load.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "half of the hash is enough")]
pub fn server_key(row: &ServerRow) -> u32 {
    xxhash_rust::xxh3::xxh3_64_with_seed(row.id.as_bytes(), row.started_ms) as u32
}

/// One backend server as this instance sees it.
#[derive(Clone, Debug)]
pub struct ServerTrack {
    pub row: ServerRow,
    /// Hash by which instances name this start of the server to each other.
    pub key: u32,
    /// Time for which all slots have been in use, until `full_at_us`.
    full_us: u64,
    full_at_us: u64,
    full: bool,
    sent: SmallVec<[Sent; 8]>,
    /// What other instances told that they have here; only those that have something.
    peers: SmallVec<[PeerLoad; 4]>,
    /// Requests of others that no peer told of, when the server last told its load.
    strays: f64,
    strays_at_us: u64,
    /// How much longer work takes there than usual; 1 is the usual.
    pace: f64,
    pace_at_us: u64,
    /// The pace that the server told this instance itself.
    own_pace_percent: u16,
    own_pace_at_us: u64,
    pub bounds: StartBounds,
    health: ServerHealth,
    /// The platform no longer lists it: not to be used from this time on.
    unlisted_at_us: Option<u64>,
    withheld: Withheld,
}

impl ServerTrack {
    /// A server that was just listed.
    #[must_use]
    pub fn new(row: ServerRow, now_us: u64) -> Self {
        Self {
            key: server_key(&row),
            bounds: StartBounds::new(row.warmup_ms, now_us),
            row,
            full_us: 0,
            full_at_us: now_us,
            full: false,
            sent: SmallVec::new(),
            peers: SmallVec::new(),
            strays: 0.0,
            strays_at_us: 0,
            pace: 1.0,
            pace_at_us: 0,
            own_pace_percent: 0,
            own_pace_at_us: 0,
            health: ServerHealth::new(now_us),
            unlisted_at_us: None,
            withheld: Withheld::default(),
        }
    }

    /// Takes over what the platform lists now.
    pub fn relist(&mut self, row: ServerRow, now_us: u64) {
        self.bounds.cold.hear_entry(row.warmup_ms, now_us);
        self.row = row;
        self.unlisted_at_us = None;
    }

    /// The platform no longer lists it; it may be used until `until_us`.
    pub fn unlist(&mut self, until_us: u64) {
        self.unlisted_at_us = Some(self.unlisted_at_us.unwrap_or(u64::MAX).min(until_us));
    }

    /// Whether it is listed, or was so until a moment ago.
    #[must_use]
    pub fn listed(&self, now_us: u64) -> bool {
        self.unlisted_at_us.is_none_or(|until_us| now_us < until_us)
    }

    /// Whether it is no longer listed, and may be forgotten once it is not in use.
    #[must_use]
    pub const fn leaves(&self) -> bool {
        self.unlisted_at_us.is_some()
    }

    /// Its availability zone is evacuated; what runs there is finished.
    pub fn evacuate(&mut self) {
        self.withheld.evacuated = true;
    }

    /// The evacuation ends. For as long as a cold server of its service is slow it may be cold without
    /// anybody having said so.
    pub fn readmit(&mut self, warmup_us: u64, now_us: u64) {
        self.withheld.evacuated = false;
        self.bounds.cold.presume(warmup_us, now_us);
    }

    /// Whether another server was listed at its address after it.
    pub const fn supersede(&mut self, superseded: bool) {
        self.withheld.superseded = superseded;
    }

    /// It says itself that it leaves; returns whether that is news. Of one start that holds to its end,
    /// whatever the platform lists.
    pub const fn hear_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.withheld.leaving, true)
    }

    /// Whether it holds its address, as far as the entries tell.
    #[must_use]
    pub const fn holds_address(&self) -> bool {
        !self.withheld.superseded
    }

    /// Whether it may be given work at all, now or after a pause.
    #[must_use]
    pub fn in_service(&self, now_us: u64) -> bool {
        self.listed(now_us) && !self.withheld.any()
    }

    /// Whether it may be given new work.
    #[must_use]
    pub fn usable(&self, now_us: u64) -> bool {
        self.row.state == ServerState::Ready
            && self.in_service(now_us)
            && !self.health.paused(now_us)
    }

    /// Whether it works at its usual speed, as far as its start is concerned.
    #[must_use]
    pub const fn warm(&self, now_us: u64) -> bool {
        self.bounds.cold.warm(now_us)
    }

    /// Takes in for how long a health answer says that it is cold; `None` where it does not say.
    pub fn hear_cold(&mut self, left_ms: Option<u64>, now_us: u64) {
        self.bounds.cold.hear_health(left_ms, now_us);
    }

    /// Whether an idle connection is probably there: it answered this instance lately.
    #[must_use]
    pub const fn connected(&self, now_us: u64) -> bool {
        let answered_us =
            if self.own_pace_at_us > 0 { self.own_pace_at_us } else { self.health.heard_us() };
        now_us.saturating_sub(answered_us) < CONNECTED_US
    }

    /// Requests of this instance that run or wait there.
    #[must_use]
    pub fn own_requests(&self) -> usize {
        self.sent.len()
    }

    /// Whether nothing of this instance runs there.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.sent.is_empty()
    }

    /// Requests that run or wait there, own and others', as far as known.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few requests, never below zero"
    )]
    pub fn occupancy(&self, now_us: u64) -> u32 {
        let age_us = now_us.saturating_sub(self.strays_at_us).min(STRAYS_LIFE_US);
        let fresh = 1.0 - age_us as f64 / STRAYS_LIFE_US as f64;
        (self.sent.len() as f64 + self.of_peers() + self.strays * fresh).round() as u32
    }

    /// Requests that peers have here.
    fn of_peers(&self) -> f64 {
        self.peers.iter().map(|peer| f64::from(peer.in_flight)).sum()
    }

    /// Takes in what a peer told.
    pub fn hear_peer(&mut self, from: u64, row: ServerLoadRow, now_us: u64) {
        self.note_full(now_us);
        self.peers.retain(|peer| peer.from != from);
        if row.in_flight > 0 {
            self.peers.push(PeerLoad { from, in_flight: row.in_flight });
        }
        self.note_full(now_us);
        if row.pace_percent > 0 {
            self.pace = f64::from(row.pace_percent) / 100.0;
            self.pace_at_us = now_us;
        }
    }

    /// A peer is gone, and its requests with it.
    pub fn forget_peer(&mut self, from: u64, now_us: u64) {
        self.note_full(now_us);
        self.peers.retain(|peer| peer.from != from);
        self.note_full(now_us);
    }

    /// What peers are told: own requests, and the pace in percent if the server told it lately.
    #[must_use]
    pub fn told(&self, now_us: u64) -> (u16, u16) {
        let in_flight = u16::try_from(self.sent.len()).unwrap_or(u16::MAX);
        let fresh = now_us.saturating_sub(self.own_pace_at_us) < PACE_TOLD_US;
        (in_flight, if fresh { self.own_pace_percent } else { 0 })
    }

    /// Takes note of a request that is sent there.
    pub fn start(&mut self, ticket: u64, now_us: u64) {
        self.note_full(now_us);
        let running = self.occupancy(now_us) + 1;
        let (full_us, pace) = (self.full_us, self.pace(now_us));
        self.sent.push(Sent { ticket, at_us: now_us, running, full_us, pace });
        self.bounds.start(now_us);
        self.note_full(now_us);
    }

    /// Adds up the time for which all slots were in use; called before and after each change.
    fn note_full(&mut self, now_us: u64) {
        if self.full {
            self.full_us += now_us.saturating_sub(self.full_at_us);
        }
        self.full_at_us = now_us;
        self.full = self.occupancy(now_us) >= self.row.slots;
    }

    /// Part of a request's time for which all slots were in use.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "times of one request")]
    pub fn full_part(&self, sent: &Sent, now_us: u64) -> f64 {
        let lasted_us = now_us.saturating_sub(sent.at_us).max(1);
        self.full_us.saturating_sub(sent.full_us) as f64 / lasted_us as f64
    }

    /// Takes note of a request's end; returns how it began.
    pub fn finish(&mut self, ticket: u64, end: SendEnd, now_us: u64) -> Option<Sent> {
        let at = self.sent.iter().position(|sent| sent.ticket == ticket)?;
        self.note_full(now_us);
        let sent = self.sent.swap_remove(at);
        self.note_full(now_us);
        if matches!(end, SendEnd::Unsent | SendEnd::Unreachable) {
            self.bounds.take_back(sent.at_us);
        }
        self.health.ended(end, now_us);
        Some(sent)
    }

    /// Takes in the load that the server told with an answer.
    pub fn report(&mut self, load: LoadReport, now_us: u64) {
        let total = f64::from(load.running + load.waiting);
        #[expect(clippy::cast_precision_loss, reason = "a few requests")]
        let own = self.sent.len() as f64;
        self.strays = (total - own - self.of_peers()).max(0.0);
        self.strays_at_us = now_us;
        self.own_pace_percent = u16::try_from(load.pace_percent).unwrap_or(u16::MAX);
        self.own_pace_at_us = now_us;
        self.pace = f64::from(load.pace_percent) / 100.0;
        self.pace_at_us = now_us;
        self.health.heard(now_us);
        for sent in &mut self.sent {
            if now_us.saturating_sub(sent.at_us) < HAND_OVER_US {
                sent.pace = self.pace;
            }
        }
    }

    /// Takes in the answer to a health check.
    pub const fn checked(&mut self, well: bool, now_us: u64) {
        self.health.checked(well, now_us);
    }

    /// Takes note that a health check got no answer.
    pub fn unheard(&mut self, now_us: u64) {
        self.health.unheard(now_us);
    }

    /// Age of the last word on its pace; `None` for a server that never told it.
    #[must_use]
    pub const fn pace_age_us(&self, now_us: u64) -> Option<u64> {
        if self.pace_at_us == 0 {
            return None;
        }
        Some(now_us.saturating_sub(self.pace_at_us))
    }

    /// How much longer work that begins now is expected to take than usual. The pace that a server tells
    /// is that of its work, its being cold included.
    #[expect(clippy::cast_precision_loss, reason = "ages in microseconds")]
    fn pace(&self, now_us: u64) -> f64 {
        let pace_age_us = now_us.saturating_sub(self.pace_at_us) as f64;
        let untold = if self.warm(now_us) { 1.0 } else { COLD_PACE };
        untold + (self.pace - untold) * (-pace_age_us / PACE_LIFE_US).exp()
    }

    /// Expected time of work that begins now, from what it usually takes.
    #[must_use]
    pub fn work_ms(&self, typical_ms: f64, now_us: u64) -> f64 {
        typical_ms * self.pace(now_us)
    }

    /// Expected time until a request sent there now is answered, failures that make it take longer
    /// included.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "ages in microseconds")]
    pub fn expected_ms(&self, typical_ms: f64, now_us: u64) -> f64 {
        let mut expected_ms = self.work_ms(typical_ms, now_us);
        expected_ms *= 1.0 + FAILURE_FACTOR * self.health.failures(now_us);
        if self.health.unwell() {
            expected_ms *= 2.0;
        }
        let overdue_us = OVERDUE_FACTOR * typical_ms * 1000.0;
        let overdue =
            self.sent.iter().filter(|sent| now_us.saturating_sub(sent.at_us) as f64 > overdue_us);
        expected_ms += overdue.count() as f64 * typical_ms;
        expected_ms + self.silence_ms(typical_ms, now_us)
    }

    /// How long a server in use has been silent beyond what is usual; tells one that vanished
    /// without closing its connections.
    #[expect(clippy::cast_precision_loss, reason = "ages in microseconds")]
    fn silence_ms(&self, typical_ms: f64, now_us: u64) -> f64 {
        let Some(oldest_us) = self.sent.iter().map(|sent| sent.at_us).min() else {
            return 0.0;
        };
        let silent_ms =
            now_us.saturating_sub(oldest_us.max(self.health.heard_us())) as f64 / 1000.0;
        if silent_ms > SILENT_FACTOR * typical_ms { silent_ms } else { 0.0 }
    }
}
