//! SWIM failure detector: periodic pings, indirect pings and suspicion, with gossip piggybacked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use rand::RngExt;
use tokio::task::JoinHandle;

use super::MemberRequest;
use super::MemberRow;
use super::MemberState;
use super::SuspicionTimer;
use super::handlers::GOSSIP_ROWS_MAX;
use super::handlers::merge_gossip;
use super::is_late;
use super::sync_members;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::quarantine::exchange_suspects;

/// Minimum interval between two synchronizations of member tables that this instance starts; the
/// actual interval is random, up to twice as long. In a fleet whose members keep changing, each
/// instance spends some 300 bytes per second on them.
const SYNC_INTERVAL_MIN_MS: u64 = 600;
/// Minimum interval between two exchanges of suspect requests that this instance starts. After a
/// power loss instances hold different subsets of the suspect requests, and would otherwise
/// exchange them on each ping.
const SUSPECTS_EXCHANGE_INTERVAL_MIN_MS: u64 = 400;
/// Members that are asked for an indirect ping.
const INDIRECT_PINGS: usize = 2;
/// Ping timeouts that the members asked for an indirect ping have for their answers.
const INDIRECT_TIMEOUTS: u32 = 2;

/// In which data a peer agrees with this instance, by comparison of digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PeerAgreement {
    /// The member tables are equal.
    members: bool,
    /// The records of requests suspected of crashing servers are equal.
    suspect_requests: bool,
}

/// Pings a member; `None` if it did not answer within `timeout`.
async fn ping<L: PeerClient>(
    board: &Blackboard,
    links: &L,
    target: &MemberRow,
    timeout: Duration,
) -> Option<PeerAgreement> {
    let request = {
        let mut members = board.members.lock();
        PeerRequest::Member(MemberRequest::Ping {
            from: members.own_row(now_ms()),
            stamp: board.events.clock.stamp(),
            digest_hash: members.digest().hash(),
            gossip: members.take_gossip(GOSSIP_ROWS_MAX, now_ms()),
        })
    };
    let reply = links.call(target.peer_address, &request, timeout).await;
    let Ok(PeerReply::Ack { stamp, digest_hash, suspects_digest, gossip }) = reply else {
        return None;
    };
    board.events.clock.observe(stamp);
    merge_gossip(board, &gossip);
    // An answer of another process at the same address does not prove that the target is alive.
    if !gossip.iter().any(|row| row.incarnation == target.incarnation) {
        return None;
    }
    let members = board.members.lock().digest().hash() == digest_hash;
    Some(PeerAgreement { members, suspect_requests: board.quarantine.digest() == suspects_digest })
}

/// What the members answered that were asked to ping another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IndirectPing {
    /// No other member could be asked.
    NobodyAsked,
    /// One of them reached it.
    Reached,
    /// None of them reached it.
    NotReached,
    /// None of them answered, so the fault may be on this side.
    NoAnswer,
}

/// Pings a member through others.
async fn indirect_ping<L: PeerClient>(
    board: &Blackboard,
    links: &L,
    target: &MemberRow,
    timeout: Duration,
) -> IndirectPing {
    let helpers = board.members.lock().indirect_pingers(target.incarnation, INDIRECT_PINGS);
    if helpers.is_empty() {
        return IndirectPing::NobodyAsked;
    }
    let mut calls = tokio::task::JoinSet::new();
    for helper in helpers {
        let links = links.clone();
        let request = PeerRequest::IndirectPing { target: target.peer_address };
        calls.spawn(async move { links.call(helper.peer_address, &request, timeout).await });
    }
    let mut result = IndirectPing::NoAnswer;
    while let Some(reply) = calls.join_next().await {
        match reply {
            Ok(Ok(PeerReply::Reached(true))) => return IndirectPing::Reached,
            Ok(Ok(_)) => result = IndirectPing::NotReached,
            _ => {}
        }
    }
    result
}

/// The result of checking one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Check {
    /// It answered this instance.
    Answered(PeerAgreement),
    /// It did not answer this instance; the result of pings through others.
    Indirect(IndirectPing),
}

/// Why a member is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckReason {
    /// It is its turn.
    Turn,
    /// A call to it failed. Such checks concern few members, perhaps often, so their round trips
    /// are not typical of the fleet. The fault may be this instance's own, so another one must
    /// confirm it.
    FailedCall,
}

impl CheckReason {
    /// Whether a member that this instance did not reach becomes a suspect.
    const fn suspects(self, result: IndirectPing) -> bool {
        match result {
            IndirectPing::Reached => false,
            IndirectPing::NotReached => true,
            IndirectPing::NobodyAsked | IndirectPing::NoAnswer => matches!(self, Self::Turn),
        }
    }
}

/// Pings members in turn and synchronizes with those whose digests differ.
#[derive(Clone, Debug)]
struct FailureDetector<L> {
    board: Arc<Blackboard>,
    links: L,
    /// Earliest time of the next synchronization of member tables.
    next_sync_ms: Arc<AtomicU64>,
    /// Earliest time of the next exchange of suspect requests.
    next_suspects_exchange_ms: Arc<AtomicU64>,
}

impl<L: PeerClient> FailureDetector<L> {
    /// Pings a member in a task of its own. A call that is cut short does not count as timed out,
    /// so its connection would never be replaced if it went silent.
    fn spawn_ping(
        &self,
        target: &MemberRow,
        timeout: Duration,
    ) -> JoinHandle<Option<PeerAgreement>> {
        let (detector, target) = (self.clone(), target.clone());
        tokio::spawn(async move { ping(&detector.board, &detector.links, &target, timeout).await })
    }

    /// Pings one member, directly and, if it does not answer within `timeout`, through others.
    async fn check(&self, target: &MemberRow, timeout: Duration) -> Check {
        let rest = timeout * INDIRECT_TIMEOUTS;
        let mut direct = self.spawn_ping(target, timeout + rest);
        let in_time = tokio::time::timeout(timeout, &mut direct).await;
        if let Ok(Ok(Some(agreement))) = in_time {
            return Check::Answered(agreement);
        }
        // A late answer shows that the member is alive, too.
        tokio::select! {
            Ok(Some(agreement)) = &mut direct, if in_time.is_err() => Check::Answered(agreement),
            result = indirect_ping(&self.board, &self.links, target, rest) => {
                Check::Indirect(result)
            }
        }
    }

    /// Checks one member; makes it a suspect if neither this instance nor another one reaches it,
    /// as far as the reason for the check allows.
    async fn check_member(self, target: MemberRow, reason: CheckReason) {
        let started_ms = now_ms();
        let timeout = self.board.pace.lock().stretch(self.board.settings.peers.ping_timeout_ms);
        let result = self.check(&target, timeout).await;
        let elapsed_ms = now_ms() - started_ms;
        match result {
            Check::Answered(agreement) => {
                self.record_pace(reason, elapsed_ms);
                self.synchronize(target.peer_address, agreement).await;
            }
            Check::Indirect(result) => {
                if result == IndirectPing::NoAnswer {
                    self.record_pace(reason, elapsed_ms);
                }
                // If this instance was stalled itself, the answer may have arrived unread.
                let time_limit = timeout * (1 + INDIRECT_TIMEOUTS);
                let limit_ms = u64::try_from(time_limit.as_millis()).unwrap_or(u64::MAX);
                if reason.suspects(result) && !is_late(elapsed_ms, limit_ms) {
                    self.suspect(&target).await;
                }
            }
        }
    }

    /// Checks the members at an address to which a call failed, if they are believed to be alive.
    async fn check_peer(self, peer: SocketAddr) {
        let targets: Vec<MemberRow> = self.board.members.lock().rows_at(peer, now_ms()).collect();
        let is_checked = |row: &MemberRow| {
            row.state == MemberState::Alive && row.incarnation != self.board.incarnation
        };
        for target in targets.into_iter().filter(is_checked) {
            info!(
                event = "member-checked", member = target.name.as_str();
                "a call to it failed, so it is checked"
            );
            self.clone().check_member(target, CheckReason::FailedCall).await;
        }
        self.board.failed_calls.finish(peer);
    }

    /// Records how long a check took, if it was made in turn.
    fn record_pace(&self, reason: CheckReason, elapsed_ms: u64) {
        if reason == CheckReason::Turn {
            self.board.pace.lock().record(elapsed_ms);
        }
    }

    /// Makes a member a suspect, and tells it so: gossip alone may take longer to reach it, and its
    /// refutation to come back, than the suspicion lasts.
    async fn suspect(&self, target: &MemberRow) {
        if !self.board.members.lock().suspect(target.incarnation, now_ms()) {
            return;
        }
        self.board.publish_members();
        let timeout_ms = self.board.settings.peers.suspect_timeout_ms;
        let timeout = self.board.pace.lock().stretch(timeout_ms);
        ping(&self.board, &self.links, target, timeout).await;
    }

    /// Synchronizes with a peer what it does not agree on.
    async fn synchronize(&self, peer: SocketAddr, agreement: PeerAgreement) {
        if !agreement.suspect_requests {
            self.exchange_suspects_if_due(peer).await;
        }
        if !agreement.members {
            self.sync_members_if_due(peer).await;
        }
    }

    /// Exchanges records of suspect requests, unless the last exchange was too recent.
    async fn exchange_suspects_if_due(&self, peer: SocketAddr) {
        let now = now_ms();
        if now < self.next_suspects_exchange_ms.load(Ordering::Acquire) {
            return;
        }
        self.next_suspects_exchange_ms
            .store(now + SUSPECTS_EXCHANGE_INTERVAL_MIN_MS, Ordering::Release);
        exchange_suspects(&self.board, &self.links, peer).await;
    }

    /// Synchronizes member tables, unless the last synchronization was too recent.
    async fn sync_members_if_due(&self, peer: SocketAddr) {
        let now = now_ms();
        if now < self.next_sync_ms.load(Ordering::Acquire) {
            return;
        }
        let pause_ms = rand::rng().random_range(SYNC_INTERVAL_MIN_MS..=2 * SYNC_INTERVAL_MIN_MS);
        self.next_sync_ms.store(now + pause_ms, Ordering::Release);
        let differing = sync_members(&self.board, &self.links, peer).await;
        if differing.is_some_and(|rows| rows > GOSSIP_ROWS_MAX) {
            // More rows than gossip carries: the fleet is starting. Others may lack rows that this
            // instance holds, or know more, so it synchronizes again soon.
            let next_ms = now_ms() + SYNC_INTERVAL_MIN_MS / 4;
            self.next_sync_ms.store(next_ms, Ordering::Release);
        }
    }
}

/// Declares suspects dead when their timeout passes, until the process ends.
async fn expire_suspects<L: PeerClient>(detector: &FailureDetector<L>) {
    let FailureDetector { board, links, .. } = detector;
    let mut suspicion = SuspicionTimer::new(board.settings.peers.suspect_timeout_ms, now_ms());
    loop {
        tokio::time::sleep(suspicion.tick_interval()).await;
        let timeout = board.pace.lock().stretch(board.settings.peers.suspect_timeout_ms);
        suspicion.set_timeout(timeout);
        let dead = suspicion.tick(&mut board.members.lock(), now_ms());
        if !dead.is_empty() {
            board.publish_members();
        }
        for peer in dead {
            if !board.members.lock().may_answer_at(peer) {
                links.drop_link(peer);
            }
        }
    }
}

/// Checks members at once to which a call failed, until the process ends.
async fn check_failed_calls<L: PeerClient>(detector: &FailureDetector<L>) {
    loop {
        let peer = detector.board.failed_calls.next().await;
        tokio::spawn(detector.clone().check_peer(peer));
    }
}

/// Runs the failure detector: pings one member per interval until the process ends.
///
/// A pause of this process does not count against the others: each ping has its own timeout, and a
/// suspicion counts only the time in which this instance was able to receive.
pub async fn run_failure_detector<L: PeerClient>(board: Arc<Blackboard>, links: L) {
    let interval_ms = board.settings.peers.ping_interval_ms;
    let detector = FailureDetector {
        board,
        links,
        next_sync_ms: Arc::default(),
        next_suspects_exchange_ms: Arc::default(),
    };
    let ping_loop = async {
        let FailureDetector { board, links, .. } = &detector;
        loop {
            let target = board.members.lock().next_ping_target();
            if let Some(target) = target {
                tokio::spawn(detector.clone().check_member(target, CheckReason::Turn));
            }
            links.close_idle();
            let interval = board.pace.lock().stretch_interval(interval_ms);
            tokio::time::sleep(interval).await;
        }
    };
    tokio::join!(ping_loop, expire_suspects(&detector), check_failed_calls(&detector));
}
