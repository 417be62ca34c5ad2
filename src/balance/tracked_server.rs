//! State of one backend server as this instance knows it.

use smallvec::SmallVec;

use super::SendOutcome;
use super::ServerExclusion;
use super::ServerHealth;
use super::StartLimits;
use crate::model::LoadReport;
use crate::model::ServerRow;
use crate::model::ServerState;
use crate::peer::ServerLoadRow;

/// Time over which requests that no peer advertised fade out of the occupancy estimate: about the
/// service time of one request.
const UNATTRIBUTED_DECAY_US: u64 = 300_000;
/// Maximum age of a slowdown report that is advertised to peers. The next health check is due by
/// then.
const SLOWDOWN_ADVERTISED_AGE_MAX_US: u64 = 120_000;
/// Decay time of a slowdown report: after it, a third of the weight is left. The load of other
/// tenants on the machine, which causes the slowdown, shifts within 100 to 200 ms.
const SLOWDOWN_DECAY_US: f64 = 150_000.0;
/// Slowdown assumed for a cold server without a recent report.
const COLD_SLOWDOWN: f64 = 2.0;
/// Maximum time from the acquisition of a slot until the request is sent. Meanwhile the server is
/// asked for its current slowdown, which then counts as the slowdown at the start.
const SEND_DELAY_MAX_US: u64 = 30_000;
/// A server that fails all its requests is expected to take 1 plus this factor times as long.
const FAILURE_PENALTY_FACTOR: f64 = 5.0;
/// A request that takes this many times the usual time is overdue.
const OVERDUE_FACTOR: f64 = 4.0;
/// A server with requests in flight counts as silent after this many times the usual service time
/// without any message, including responses to health checks.
const SILENT_FACTOR: f64 = 2.0;
/// Age up to which an idle connection is assumed to be open. Servers close idle connections after
/// some seconds, and connections are not reused in the last quarter of that time.
const CONNECTION_IDLE_MAX_US: u64 = 3_000_000;

/// A request of this instance on the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlightRequest {
    /// Identifies the request on this instance.
    pub ticket: u64,
    pub sent_at_us: u64,
    /// Requests known to be running there when it started, including itself.
    pub running: u32,
    /// Total time for which all slots had been in use before it started, in microseconds.
    saturated_before_us: u64,
    /// Slowdown of the server when it started: service time relative to the usual one.
    pub slowdown: f64,
}

/// Requests that a peer has on the server.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    /// Incarnation of the peer.
    peer: u64,
    in_flight: u16,
}

/// Hash that identifies one start of a server between instances. It includes the start time, so
/// that a peer's report on the previous start is not counted for the new one.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "half of the hash is enough")]
pub fn server_key(row: &ServerRow) -> u32 {
    xxhash_rust::xxh3::xxh3_64_with_seed(row.id.as_bytes(), row.started_ms) as u32
}

/// One backend server as this instance knows it.
#[derive(Clone, Debug)]
pub struct TrackedServer {
    /// The platform's entry for the server.
    pub row: ServerRow,
    /// Hash that identifies this start of the server between instances; see [`server_key`].
    pub key: u32,
    /// Total time until `saturation_at_us` for which all slots were in use.
    saturated_us: u64,
    saturation_at_us: u64,
    /// Whether all slots were in use at `saturation_at_us`.
    saturated: bool,
    /// Requests of this instance.
    in_flight: SmallVec<[InFlightRequest; 8]>,
    /// Requests that peers advertised; only peers with any.
    peers: SmallVec<[PeerLoad; 4]>,
    /// Requests of other instances that no peer had advertised, as of the server's last load
    /// report.
    unattributed: f64,
    unattributed_at_us: u64,
    /// Service time relative to the usual one; 1 is the usual.
    slowdown: f64,
    /// When the server or a peer last reported the slowdown; 0 if never.
    slowdown_at_us: u64,
    /// The slowdown that the server last reported to this instance, in percent.
    reported_slowdown_percent: u16,
    /// When the server last reported its load to this instance; 0 if never.
    reported_at_us: u64,
    pub start_limits: StartLimits,
    health: ServerHealth,
    /// Set once the platform no longer lists the server: it is not used from this time on.
    usable_until_us: Option<u64>,
    exclusion: ServerExclusion,
}

impl TrackedServer {
    /// A newly listed server.
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

    /// Applies an updated platform entry.
    pub fn relist(&mut self, row: ServerRow, now_us: u64) {
        self.start_limits.cold.record_entry(row.warmup_ms, now_us);
        self.row = row;
        self.usable_until_us = None;
    }

    /// Marks the server as no longer listed. It may be used until `until_us`.
    pub fn unlist(&mut self, until_us: u64) {
        self.usable_until_us = Some(self.usable_until_us.unwrap_or(u64::MAX).min(until_us));
    }

    /// Whether the server is listed, or was until so recently that it may still be used.
    #[must_use]
    pub fn listed(&self, now_us: u64) -> bool {
        self.usable_until_us.is_none_or(|until_us| now_us < until_us)
    }

    /// Whether the platform no longer lists the server, even if it may still be used for a moment.
    #[must_use]
    pub const fn is_unlisted(&self) -> bool {
        self.usable_until_us.is_some()
    }

    /// Marks its zone as evacuated. Requests that run there are completed.
    pub fn evacuate(&mut self) {
        self.exclusion.evacuated = true;
    }

    /// Ends the evacuation. The server may be cold without having reported so, so it is assumed to
    /// be for the warm-up time of its service.
    pub fn readmit(&mut self, warmup_us: u64, now_us: u64) {
        self.exclusion.evacuated = false;
        self.start_limits.cold.presume_cold(warmup_us, now_us);
    }

    /// Sets whether another server was listed later at the same address.
    pub const fn set_superseded(&mut self, superseded: bool) {
        self.exclusion.superseded = superseded;
    }

    /// Records that the server announced that it drains; returns whether that is new. It holds
    /// until this start ends, whatever the platform lists.
    pub const fn mark_draining(&mut self) -> bool {
        !std::mem::replace(&mut self.exclusion.announced_draining, true)
    }

    /// Whether no later entry claims the server's address.
    #[must_use]
    pub const fn owns_address(&self) -> bool {
        !self.exclusion.superseded
    }

    /// Whether the server may be used, possibly after an ejection or cooldown.
    #[must_use]
    pub fn in_service(&self, now_us: u64) -> bool {
        self.listed(now_us) && !self.exclusion.any()
    }

    /// Whether the server may get new requests.
    #[must_use]
    pub fn usable(&self, now_us: u64) -> bool {
        self.row.state == ServerState::Ready
            && self.in_service(now_us)
            && !self.health.is_ejected(now_us)
    }

    /// Whether the server is warmed up.
    #[must_use]
    pub const fn is_warm(&self, now_us: u64) -> bool {
        self.start_limits.cold.is_warm(now_us)
    }

    /// Records the remaining warm-up time from a health check; `None` if the response does not
    /// state it.
    pub fn record_warmup_left(&mut self, remaining_ms: Option<u64>, now_us: u64) {
        self.start_limits.cold.record_health(remaining_ms, now_us);
    }

    /// Whether an idle connection is probably still open, as the server responded to this instance
    /// recently.
    #[must_use]
    pub const fn likely_connected(&self, now_us: u64) -> bool {
        let answered_us = if self.reported_at_us > 0 {
            self.reported_at_us
        } else {
            self.health.last_contact_us()
        };
        now_us.saturating_sub(answered_us) < CONNECTION_IDLE_MAX_US
    }

    /// Requests that this instance has running or queued there.
    #[must_use]
    pub fn own_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether this instance has no requests there.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Requests running or queued there from all instances, as far as known.
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

    /// Requests that peers advertised.
    fn peers_in_flight(&self) -> f64 {
        self.peers.iter().map(|peer| f64::from(peer.in_flight)).sum()
    }

    /// Applies a peer's report on its requests there and on the server's slowdown.
    pub fn record_peer_load(&mut self, from: u64, row: ServerLoadRow, now_us: u64) {
        self.update_saturation(now_us);
        self.peers.retain(|peer| peer.peer != from);
        if row.in_flight > 0 {
            self.peers.push(PeerLoad { peer: from, in_flight: row.in_flight });
        }
        self.update_saturation(now_us);
        if row.slowdown_percent > 0 {
            self.slowdown = f64::from(row.slowdown_percent) / 100.0;
            self.slowdown_at_us = now_us;
        }
    }

    /// Removes a failed peer and its requests.
    pub fn remove_peer(&mut self, from: u64, now_us: u64) {
        self.update_saturation(now_us);
        self.peers.retain(|peer| peer.peer != from);
        self.update_saturation(now_us);
    }

    /// What peers are told: the requests of this instance, and the slowdown in percent if the
    /// server reported it recently, otherwise 0.
    #[must_use]
    pub fn advertised_load(&self, now_us: u64) -> (u16, u16) {
        let in_flight = u16::try_from(self.in_flight.len()).unwrap_or(u16::MAX);
        let fresh = now_us.saturating_sub(self.reported_at_us) < SLOWDOWN_ADVERTISED_AGE_MAX_US;
        (in_flight, if fresh { self.reported_slowdown_percent } else { 0 })
    }

    /// Records a request that is sent there.
    pub fn record_start(&mut self, ticket: u64, now_us: u64) {
        self.update_saturation(now_us);
        let running = self.occupancy(now_us) + 1;
        let (saturated_before_us, slowdown) = (self.saturated_us, self.slowdown_at(now_us));
        self.in_flight.push(InFlightRequest {
            ticket,
            sent_at_us: now_us,
            running,
            saturated_before_us,
            slowdown,
        });
        self.start_limits.record_start(now_us);
        self.update_saturation(now_us);
    }

    /// Adds up the time for which all slots were in use. Called before and after each change.
    fn update_saturation(&mut self, now_us: u64) {
        if self.saturated {
            self.saturated_us += now_us.saturating_sub(self.saturation_at_us);
        }
        self.saturation_at_us = now_us;
        self.saturated = self.occupancy(now_us) >= self.row.slots;
    }

    /// Fraction of a request's time for which all slots were in use.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "times of one request")]
    pub fn saturated_share(&self, sent: &InFlightRequest, now_us: u64) -> f64 {
        let lasted_us = now_us.saturating_sub(sent.sent_at_us).max(1);
        self.saturated_us.saturating_sub(sent.saturated_before_us) as f64 / lasted_us as f64
    }

    /// Records the end of a request; returns its record.
    pub fn finish(
        &mut self,
        ticket: u64,
        outcome: SendOutcome,
        now_us: u64,
    ) -> Option<InFlightRequest> {
        let at = self.in_flight.iter().position(|sent| sent.ticket == ticket)?;
        self.update_saturation(now_us);
        let sent = self.in_flight.swap_remove(at);
        self.update_saturation(now_us);
        if matches!(outcome, SendOutcome::Unsent | SendOutcome::Unreachable) {
            self.start_limits.undo_start(sent.sent_at_us);
        }
        self.health.record_outcome(outcome, now_us);
        Some(sent)
    }

    /// Applies a load report from one of the server's responses.
    pub fn record_load(&mut self, load: LoadReport, now_us: u64) {
        let total = f64::from(load.running + load.waiting);
        #[expect(clippy::cast_precision_loss, reason = "a few requests")]
        let own = self.in_flight.len() as f64;
        self.unattributed = (total - own - self.peers_in_flight()).max(0.0);
        self.unattributed_at_us = now_us;
        self.reported_slowdown_percent = u16::try_from(load.slowdown_percent).unwrap_or(u16::MAX);
        self.reported_at_us = now_us;
        self.slowdown = f64::from(load.slowdown_percent) / 100.0;
        self.slowdown_at_us = now_us;
        self.health.record_contact(now_us);
        for sent in &mut self.in_flight {
            if now_us.saturating_sub(sent.sent_at_us) < SEND_DELAY_MAX_US {
                sent.slowdown = self.slowdown;
            }
        }
    }

    /// Records the response to a health check.
    pub const fn record_health_check(&mut self, healthy: bool, now_us: u64) {
        self.health.record_health_check(healthy, now_us);
    }

    /// Records a health check without a response.
    pub fn record_check_timeout(&mut self, now_us: u64) {
        self.health.record_check_timeout(now_us);
    }

    /// Age of the last slowdown report, in microseconds; `None` if there was none.
    #[must_use]
    pub const fn slowdown_age_us(&self, now_us: u64) -> Option<u64> {
        if self.slowdown_at_us == 0 {
            return None;
        }
        Some(now_us.saturating_sub(self.slowdown_at_us))
    }

    /// Expected slowdown of a request that starts now. A reported slowdown includes that of the
    /// warm-up.
    #[expect(clippy::cast_precision_loss, reason = "ages in microseconds")]
    fn slowdown_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.slowdown_at_us) as f64;
        let default = if self.is_warm(now_us) { 1.0 } else { COLD_SLOWDOWN };
        default + (self.slowdown - default) * (-age_us / SLOWDOWN_DECAY_US).exp()
    }

    /// Expected service time of a request that starts now, given its usual time.
    #[must_use]
    pub fn expected_service_ms(&self, typical_ms: f64, now_us: u64) -> f64 {
        typical_ms * self.slowdown_at(now_us)
    }

    /// Expected time until a request sent now is answered, including penalties for failures, an
    /// unhealthy server, overdue requests and silence.
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

    /// Time without any message from a server in use, if it is longer than usual; otherwise 0.
    /// Detects a server that vanished without closing its connections.
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
