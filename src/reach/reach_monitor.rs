//! Decides whether this instance has lost the backend servers, and tells the other instances.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::task::JoinSet;

use super::CheckResult;
use super::ReturnHold;
use super::ServerChecker;
use super::ServerReach;
use super::reach_tracker::DOUBT_DELAY_US;
use super::service_verdict::CONFIRMED_US;
use super::service_verdict::ServiceVerdict;
use super::survey::ask;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::clock::now_us;
use crate::member::announce;
use crate::peer::PeerClient;

/// Interval of checks while any service is lost or in doubt.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same after [`QUICK_ROUNDS`] rounds that changed nothing.
const SLOW_CHECK_INTERVAL: Duration = Duration::from_secs(1);
const QUICK_ROUNDS: u32 = 6;
/// Time for which a failure is left to retries.
const DOUBT_DELAY: Duration = Duration::from_micros(DOUBT_DELAY_US);
/// Checks that take longer than this were held up here, and say nothing about the paths.
const CHECK_TIME_MAX_US: u64 = 250_000;
/// Servers of each service that are checked in a round.
const SERVERS_CHECKED: usize = 6;
/// The same when little speaks for a loss.
const SERVERS_CHECKED_ON_HINT: usize = 2;
/// Interval at which the other members of the zone are looked at.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Servers that responded within this time need no check, in microseconds.
const FRESH_US: u64 = 2_000_000;
/// Checks servers when they are in doubt or lost, and keeps [`ServerReach`] and the row of this
/// instance up to date.
#[derive(Debug)]
pub struct ReachMonitor<C, L> {
    board: Arc<Blackboard>,
    reach: Arc<ServerReach>,
    checker: C,
    links: L,
    verdicts: HashMap<Arc<str>, ServiceVerdict>,
    hold: ReturnHold,
    /// Since when servers of all services are reached again, while this instance is isolated.
    back_since_us: Option<u64>,
    /// Rounds in a row after which the same services were lost as before.
    unchanged_rounds: u32,
}

impl<C: ServerChecker, L: PeerClient> ReachMonitor<C, L> {
    /// A monitor of an instance that is assumed to reach its servers.
    #[must_use]
    pub fn new(board: Arc<Blackboard>, reach: Arc<ServerReach>, checker: C, links: L) -> Self {
        let (verdicts, hold) = (HashMap::new(), ReturnHold::default());
        Self {
            board,
            reach,
            checker,
            links,
            verdicts,
            hold,
            back_since_us: None,
            unchanged_rounds: 0,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            if !self.is_active() {
                let doubt = tokio::time::timeout(IDLE_INTERVAL, self.reach.wait_for_doubt());
                if doubt.await.is_ok() {
                    let _ = tokio::time::timeout(DOUBT_DELAY, self.reach.wait_for_check_request())
                        .await;
                }
            }
            let requested = self.reach.take_check_request();
            if requested || self.is_active() || !self.reach.in_doubt().is_empty() {
                self.run_round().await;
                let slow = self.unchanged_rounds >= QUICK_ROUNDS;
                let interval = if slow { SLOW_CHECK_INTERVAL } else { CHECK_INTERVAL };
                tokio::time::sleep(interval).await;
                continue;
            }
            self.unchanged_rounds = 0;
            if self.reach.failed_in_silence() || self.neighbor_isolated() {
                // A failure leaves evidence, which starts a round.
                check_all(&self.checker, &self.checker.services(), SERVERS_CHECKED_ON_HINT).await;
            }
        }
    }

    /// Whether any service is lost, or this instance is still announced as isolated.
    fn is_active(&self) -> bool {
        !self.reach.lost().is_empty() || !self.announced_reaching()
    }

    /// Whether the others are told that this instance reaches servers.
    fn announced_reaching(&self) -> bool {
        self.board.members.lock().own_row(now_ms()).reaches_servers
    }

    /// Whether an instance of this zone is isolated, and this one may be too without having noticed,
    /// since it has no requests.
    fn neighbor_isolated(&self) -> bool {
        let since_us = now_us().saturating_sub(FRESH_US);
        let view = self.board.members_view();
        let zone = &self.board.settings.instance.zone;
        let isolated = view.ranked(zone).iter().any(|row| !row.reaches_servers);
        let unproved = |service: &Arc<str>| !self.reach.responded_since(service, since_us);
        isolated && self.checker.services().iter().any(unproved)
    }

    /// Checks the servers of all services and asks other instances about those that seem lost.
    async fn run_round(&mut self) {
        self.reach.record_checking();
        let began_us = now_us();
        let services = self.checker.services();
        self.verdicts.retain(|service, _| services.contains(service));
        let doubted = self.reach.in_doubt();
        self.log_doubts(&doubted);
        let doubted: Vec<Arc<str>> = doubted.into_iter().map(|(service, _)| service).collect();
        let asked = self.without_word(&services, |service| doubted.contains(service));
        // Asks about what is in doubt while it is checked, as both take time.
        let (results, reached) =
            tokio::join!(check_all(&self.checker, &services, SERVERS_CHECKED), self.ask(&asked),);
        self.record_word(&reached);
        let Some(results) = results else {
            self.reach.record_checked();
            return;
        };
        let seems_lost = |service: &Arc<str>| {
            let index = services.iter().position(|other| other == service);
            index.is_some_and(|index| results[index].is_lost()) && !asked.contains(service)
        };
        let asked_late = self.without_word(&services, seems_lost);
        let reached = self.ask(&asked_late).await;
        self.record_word(&reached);
        for (service, result) in services.iter().zip(results) {
            self.update_verdict(service, result, began_us);
        }
        self.publish(&services).await;
    }

    /// Those of the services that qualify, unless another instance's word on them still counts for
    /// long enough.
    fn without_word(
        &self,
        services: &[Arc<str>],
        qualifies: impl Fn(&Arc<str>) -> bool,
    ) -> Vec<Arc<str>> {
        let has_word = |service: &Arc<str>| {
            let verdict = self.verdicts.get(service);
            verdict.is_some_and(|verdict| {
                verdict.lost && verdict.is_confirmed(now_us() + CONFIRMED_US / 2)
            })
        };
        let qualifying = services.iter().filter(|service| qualifies(service));
        qualifying.filter(|service| !has_word(service)).cloned().collect()
    }

    /// Asks other instances about these services; returns those whose servers any of them reaches.
    async fn ask(&self, services: &[Arc<str>]) -> Vec<Arc<str>> {
        let known = services.iter().all(|service| self.reach.is_lost(service));
        ask(&self.board, &self.links, services, known).await
    }

    /// Records that another instance reaches the servers of these services.
    fn record_word(&mut self, reached: &[Arc<str>]) {
        for service in reached {
            let verdict = self.verdicts.entry(Arc::clone(service)).or_default();
            verdict.confirmed_at_us = Some(now_us());
        }
    }

    fn log_doubts(&self, doubted: &[(Arc<str>, CheckResult)]) {
        for (service, evidence) in doubted {
            if !self.reach.is_lost(service) {
                info!(
                    event = "servers-in-doubt", service = &**service, reached = evidence.reached,
                    failed = evidence.failed;
                    "servers do not respond; they are checked over new connections"
                );
            }
        }
    }

    fn update_verdict(&mut self, service: &Arc<str>, result: CheckResult, began_us: u64) {
        let verdict = self.verdicts.entry(Arc::clone(service)).or_default();
        let before = verdict.lost;
        verdict.update(result, began_us, now_us());
        let confirmed_age_us = verdict.confirmed_at_us.map(|at_us| now_us().saturating_sub(at_us));
        if before != verdict.lost || (result.is_lost() && !before) {
            info!(
                event = "servers-checked", service = &**service, reached = result.reached,
                failed = result.failed, lost = verdict.lost, lost_before = before,
                confirmed_age_us = confirmed_age_us;
                "lost: this instance does not reach the servers, and another one does"
            );
        }
    }

    /// Publishes the verdicts to the request path and to the other instances.
    async fn publish(&mut self, services: &[Arc<str>]) {
        let verdict = |service: &Arc<str>| self.verdicts.get(service).copied().unwrap_or_default();
        let lost: Vec<Arc<str>> =
            services.iter().filter(|service| verdict(service).lost).cloned().collect();
        let recovering = lost.iter().any(|service| verdict(service).rounds_reached > 0);
        let isolated = !services.is_empty() && lost.len() == services.len();
        let unchanged = *lost == *self.reach.lost() && !recovering;
        self.unchanged_rounds = if unchanged { self.unchanged_rounds + 1 } else { 0 };
        self.reach.set_lost(lost);
        self.reach.record_checked();
        self.announce_reach(isolated).await;
    }

    /// Tells the other instances when this one becomes isolated, and when it has reached servers for
    /// long enough again.
    async fn announce_reach(&mut self, isolated: bool) {
        let announced_reaching = self.announced_reaching();
        if isolated {
            self.back_since_us = None;
        }
        let reaching = match (isolated, announced_reaching) {
            (true, true) => {
                self.hold.record_loss(now_us());
                false
            }
            (false, false) => {
                let back_since_us = *self.back_since_us.get_or_insert(now_us());
                if now_us().saturating_sub(back_since_us) < self.hold.hold_us() {
                    return;
                }
                true
            }
            _ => return,
        };
        info!(
            event = "reach-announced", reaches_servers = reaching,
            hold_ms = self.hold.hold_us() / 1000;
            "tells the other instances whether this one reaches backend servers"
        );
        self.board.members.lock().set_own_reach(reaching, now_ms());
        self.board.publish_members();
        announce(&self.board, &self.links).await;
    }
}

/// Checks servers of all services at the same time; `None` if this instance was too slow to tell.
async fn check_all<C: ServerChecker>(
    checker: &C,
    services: &[Arc<str>],
    servers_max: usize,
) -> Option<Vec<CheckResult>> {
    let began_us = now_us();
    let mut checks = JoinSet::new();
    for (index, service) in services.iter().enumerate() {
        let (checker, service) = (checker.clone(), Arc::clone(service));
        checks.spawn(async move { (index, checker.check(&service, servers_max).await) });
    }
    let mut results = vec![CheckResult::default(); services.len()];
    while let Some(Ok((index, result))) = checks.join_next().await {
        results[index] = result;
    }
    let took_us = now_us().saturating_sub(began_us);
    if took_us > CHECK_TIME_MAX_US {
        info!(event = "checks-late", took_ms = took_us / 1000; "the checks are not counted");
        return None;
    }
    Some(results)
}
