//! What this instance believes of one backend server.

use smallvec::SmallVec;

use super::SendOutcome;
use super::ServerExclusion;
use super::ServerHealth;
use super::StartLimits;
use crate::model::LoadReport;
use crate::model::ServerRow;
use crate::model::ServerState;
use crate::peer::ServerLoadRow;

/// A report on requests that no peer told of fades over this time, about one request's work.
const UNATTRIBUTED_DECAY_US: u64 = 300_000;
/// A pace older than this is not told on: the next health check is due by then.
const SLOWDOWN_ADVERTISED_AGE_MAX_US: u64 = 120_000;
/// A report on the pace of the machine is worth a third after this: the neighbours' load that
/// causes it shifts within 100 to 200 ms.
const SLOWDOWN_DECAY_US: f64 = 150_000.0;
/// How much slower a cold server works, where its own word on its pace is missing or old.
const COLD_SLOWDOWN: f64 = 2.0;
/// A request is handed over within so long of being given its place; the server is asked for its pace
/// in between.
const SEND_DELAY_MAX_US: u64 = 30_000;
/// A server that fails all that it gets looks this many times slower, and one more.
const FAILURE_PENALTY_FACTOR: f64 = 5.0;
/// Work that takes this many times as long as usual counts as overdue.
const OVERDUE_FACTOR: f64 = 4.0;
/// Without any word, also to probes, for this many times the usual work, a server in use counts
/// as silent.
const SILENT_FACTOR: f64 = 2.0;
/// Servers close idle connections after some seconds, and one is not used again for the last quarter
/// of that time.
const CONNECTION_IDLE_MAX_US: u64 = 3_000_000;

/// A request that this instance has at the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlightRequest {
    pub ticket: u64,
    pub sent_at_us: u64,
    /// Requests that ran there when it began, itself included, as far as known.
    pub running: u32,
    /// Time for which all slots had been in use until it began.
    saturated_before_us: u64,
    /// How much longer work took there than usual when it began.
    pub slowdown: f64,
}

/// What a peer has at the server.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    peer: u64,
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
pub struct TrackedServer {
    pub row: ServerRow,
    /// Hash by which instances name this start of the server to each other.
    pub key: u32,
    /// Time for which all slots have been in use, until `full_at_us`.
    saturated_us: u64,
    saturation_at_us: u64,
    saturated: bool,
    in_flight: SmallVec<[InFlightRequest; 8]>,
    /// What other instances told that they have here; only those that have something.
    peers: SmallVec<[PeerLoad; 4]>,
    /// Requests of others that no peer told of, when the server last told its load.
    unattributed: f64,
    unattributed_at_us: u64,
    /// How much longer work takes there than usual; 1 is the usual.
    slowdown: f64,
    slowdown_at_us: u64,
    /// The pace that the server told this instance itself.
    reported_slowdown_percent: u16,
    reported_at_us: u64,
    pub start_limits: StartLimits,
    health: ServerHealth,
    /// The platform no longer lists it: not to be used from this time on.
    usable_until_us: Option<u64>,
    exclusion: ServerExclusion,
}

impl TrackedServer {
    /// A server that was just listed.
    #[must_use]
    pub fn new(row: ServerRow, now_us: u64) -> Self {
        Self {
            key: server_key(&row),
            start_limits: StartLimits::new(row.warmup_ms, now_us),
            row,
            saturated_us: 0,
            saturation_at_us: now_us,
            saturated: false,
            in_flight: SmallVec::new(),
            peers: SmallVec::new(),
            unattributed: 0.0,
            unattributed_at_us: 0,
            slowdown: 1.0,
            slowdown_at_us: 0,
            reported_slowdown_percent: 0,
            reported_at_us: 0,
            health: ServerHealth::new(now_us),
            usable_until_us: None,
            exclusion: ServerExclusion::default(),
        }
    }

    /// Takes over what the platform lists now.
    pub fn relist(&mut self, row: ServerRow, now_us: u64) {
        self.start_limits.cold.record_entry(row.warmup_ms, now_us);
        self.row = row;
        self.usable_until_us = None;
    }

    /// The platform no longer lists it; it may be used until `until_us`.
    pub fn unlist(&mut self, until_us: u64) {
        self.usable_until_us = Some(self.usable_until_us.unwrap_or(u64::MAX).min(until_us));
    }

    /// Whether it is listed, or was so until a moment ago.
    #[must_use]
    pub fn listed(&self, now_us: u64) -> bool {
        self.usable_until_us.is_none_or(|until_us| now_us < until_us)
    }

    /// Whether it is no longer listed, and may be forgotten once it is not in use.
    #[must_use]
    pub const fn is_unlisted(&self) -> bool {
        self.usable_until_us.is_some()
    }

    /// Its availability zone is evacuated; what runs there is finished.
    pub fn evacuate(&mut self) {
        self.exclusion.evacuated = true;
    }

    /// The evacuation ends. For as long as a cold server of its service is slow it may be cold without
    /// anybody having said so.
    pub fn readmit(&mut self, warmup_us: u64, now_us: u64) {
        self.exclusion.evacuated = false;
        self.start_limits.cold.presume_cold(warmup_us, now_us);
    }

    /// Whether another server was listed at its address after it.
    pub const fn set_superseded(&mut self, superseded: bool) {
        self.exclusion.superseded = superseded;
    }

    /// It says itself that it leaves; returns whether that is news. Of one start that holds to its end,
    /// whatever the platform lists.
    pub const fn mark_draining(&mut self) -> bool {
        !std::mem::replace(&mut self.exclusion.announced_draining, true)
    }

    /// Whether it holds its address, as far as the entries tell.
    #[must_use]
    pub const fn owns_address(&self) -> bool {
        !self.exclusion.superseded
    }

    /// Whether it may be given work at all, now or after a pause.
    #[must_use]
    pub fn in_service(&self, now_us: u64) -> bool {
        self.listed(now_us) && !self.exclusion.any()
    }

    /// Whether it may be given new work.
    #[must_use]
    pub fn usable(&self, now_us: u64) -> bool {
        self.row.state == ServerState::Ready
            && self.in_service(now_us)
            && !self.health.is_ejected(now_us)
    }

    /// Whether it works at its usual speed, as far as its start is concerned.
    #[must_use]
    pub const fn is_warm(&self, now_us: u64) -> bool {
        self.start_limits.cold.is_warm(now_us)
    }

    /// Takes in for how long a health answer says that it is cold; `None` where it does not say.
    pub fn record_warmup_left(&mut self, left_ms: Option<u64>, now_us: u64) {
        self.start_limits.cold.record_health(left_ms, now_us);
    }

    /// Whether an idle connection is probably there: it answered this instance lately.
    #[must_use]
    pub const fn likely_connected(&self, now_us: u64) -> bool {
        let answered_us = if self.reported_at_us > 0 {
            self.reported_at_us
        } else {
            self.health.last_contact_us()
        };
        now_us.saturating_sub(answered_us) < CONNECTION_IDLE_MAX_US
    }

    /// Requests of this instance that run or wait there.
    #[must_use]
    pub fn own_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether nothing of this instance runs there.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.in_flight.is_empty()
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
        let age_us = now_us.saturating_sub(self.unattributed_at_us).min(UNATTRIBUTED_DECAY_US);
        let fresh = 1.0 - age_us as f64 / UNATTRIBUTED_DECAY_US as f64;
        (self.in_flight.len() as f64 + self.peers_in_flight() + self.unattributed * fresh).round()
            as u32
    }

    /// Requests that peers have here.
    fn peers_in_flight(&self) -> f64 {
        self.peers.iter().map(|peer| f64::from(peer.in_flight)).sum()
    }

    /// Takes in what a peer told.
    pub fn record_peer_load(&mut self, from: u64, row: ServerLoadRow, now_us: u64) {
        self.update_saturation(now_us);
        self.peers.retain(|peer| peer.peer != from);
        if row.in_flight > 0 {
            self.peers.push(PeerLoad { peer: from, in_flight: row.in_flight });
        }
        self.update_saturation(now_us);
        if row.pace_percent > 0 {
            self.slowdown = f64::from(row.pace_percent) / 100.0;
            self.slowdown_at_us = now_us;
        }
    }

    /// A peer is gone, and its requests with it.
    pub fn remove_peer(&mut self, from: u64, now_us: u64) {
        self.update_saturation(now_us);
        self.peers.retain(|peer| peer.peer != from);
        self.update_saturation(now_us);
    }

    /// What peers are told: own requests, and the pace in percent if the server told it lately.
    #[must_use]
    pub fn advertised_load(&self, now_us: u64) -> (u16, u16) {
        let in_flight = u16::try_from(self.in_flight.len()).unwrap_or(u16::MAX);
        let fresh = now_us.saturating_sub(self.reported_at_us) < SLOWDOWN_ADVERTISED_AGE_MAX_US;
        (in_flight, if fresh { self.reported_slowdown_percent } else { 0 })
    }

    /// Takes note of a request that is sent there.
    pub fn record_start(&mut self, ticket: u64, now_us: u64) {
        self.update_saturation(now_us);
        let running = self.occupancy(now_us) + 1;
        let (full_us, pace) = (self.saturated_us, self.slowdown_at(now_us));
        self.in_flight.push(InFlightRequest {
            ticket,
            sent_at_us: now_us,
            running,
            saturated_before_us: full_us,
            slowdown: pace,
        });
        self.start_limits.record_start(now_us);
        self.update_saturation(now_us);
    }

    /// Adds up the time for which all slots were in use; called before and after each change.
    fn update_saturation(&mut self, now_us: u64) {
        if self.saturated {
            self.saturated_us += now_us.saturating_sub(self.saturation_at_us);
        }
        self.saturation_at_us = now_us;
        self.saturated = self.occupancy(now_us) >= self.row.slots;
    }

    /// Part of a request's time for which all slots were in use.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "times of one request")]
    pub fn saturated_share(&self, sent: &InFlightRequest, now_us: u64) -> f64 {
        let lasted_us = now_us.saturating_sub(sent.sent_at_us).max(1);
        self.saturated_us.saturating_sub(sent.saturated_before_us) as f64 / lasted_us as f64
    }

    /// Takes note of a request's end; returns how it began.
    pub fn finish(
        &mut self,
        ticket: u64,
        end: SendOutcome,
        now_us: u64,
    ) -> Option<InFlightRequest> {
        let at = self.in_flight.iter().position(|sent| sent.ticket == ticket)?;
        self.update_saturation(now_us);
        let sent = self.in_flight.swap_remove(at);
        self.update_saturation(now_us);
        if matches!(end, SendOutcome::Unsent | SendOutcome::Unreachable) {
            self.start_limits.undo_start(sent.sent_at_us);
        }
        self.health.record_outcome(end, now_us);
        Some(sent)
    }

    /// Takes in the load that the server told with an answer.
    pub fn record_load(&mut self, load: LoadReport, now_us: u64) {
        let total = f64::from(load.running + load.waiting);
        #[expect(clippy::cast_precision_loss, reason = "a few requests")]
        let own = self.in_flight.len() as f64;
        self.unattributed = (total - own - self.peers_in_flight()).max(0.0);
        self.unattributed_at_us = now_us;
        self.reported_slowdown_percent = u16::try_from(load.pace_percent).unwrap_or(u16::MAX);
        self.reported_at_us = now_us;
        self.slowdown = f64::from(load.pace_percent) / 100.0;
        self.slowdown_at_us = now_us;
        self.health.record_contact(now_us);
        for sent in &mut self.in_flight {
            if now_us.saturating_sub(sent.sent_at_us) < SEND_DELAY_MAX_US {
                sent.slowdown = self.slowdown;
            }
        }
    }

    /// Takes in the answer to a health check.
    pub const fn record_health_check(&mut self, well: bool, now_us: u64) {
        self.health.record_health_check(well, now_us);
    }

    /// Takes note that a health check got no answer.
    pub fn record_check_timeout(&mut self, now_us: u64) {
        self.health.record_check_timeout(now_us);
    }

    /// Age of the last word on its pace; `None` for a server that never told it.
    #[must_use]
    pub const fn slowdown_age_us(&self, now_us: u64) -> Option<u64> {
        if self.slowdown_at_us == 0 {
            return None;
        }
        Some(now_us.saturating_sub(self.slowdown_at_us))
    }

    /// How much longer work that begins now is expected to take than usual. The pace that a server tells
    /// is that of its work, its being cold included.
    #[expect(clippy::cast_precision_loss, reason = "ages in microseconds")]
    fn slowdown_at(&self, now_us: u64) -> f64 {
        let pace_age_us = now_us.saturating_sub(self.slowdown_at_us) as f64;
        let untold = if self.is_warm(now_us) { 1.0 } else { COLD_SLOWDOWN };
        untold + (self.slowdown - untold) * (-pace_age_us / SLOWDOWN_DECAY_US).exp()
    }

    /// Expected time of work that begins now, from what it usually takes.
    #[must_use]
    pub fn expected_service_ms(&self, typical_ms: f64, now_us: u64) -> f64 {
        typical_ms * self.slowdown_at(now_us)
    }

    /// Expected time until a request sent there now is answered, failures that make it take longer
    /// included.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "ages in microseconds")]
    pub fn expected_ms(&self, typical_ms: f64, now_us: u64) -> f64 {
        let mut expected_ms = self.expected_service_ms(typical_ms, now_us);
        expected_ms *= 1.0 + FAILURE_PENALTY_FACTOR * self.health.failure_rate(now_us);
        if self.health.is_unhealthy() {
            expected_ms *= 2.0;
        }
        let overdue_us = OVERDUE_FACTOR * typical_ms * 1000.0;
        let overdue = self
            .in_flight
            .iter()
            .filter(|sent| now_us.saturating_sub(sent.sent_at_us) as f64 > overdue_us);
        expected_ms += overdue.count() as f64 * typical_ms;
        expected_ms + self.silence_ms(typical_ms, now_us)
    }

    /// How long a server in use has been silent beyond what is usual; tells one that vanished
    /// without closing its connections.
    #[expect(clippy::cast_precision_loss, reason = "ages in microseconds")]
    fn silence_ms(&self, typical_ms: f64, now_us: u64) -> f64 {
        let Some(oldest_us) = self.in_flight.iter().map(|sent| sent.sent_at_us).min() else {
            return 0.0;
        };
        let silent_ms =
            now_us.saturating_sub(oldest_us.max(self.health.last_contact_us())) as f64 / 1000.0;
        if silent_ms > SILENT_FACTOR * typical_ms { silent_ms } else { 0.0 }
    }
}
