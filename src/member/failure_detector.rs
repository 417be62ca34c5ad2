//! SWIM failure detector: periodic pings, indirect pings and suspicion, with gossip piggybacked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;

use super::MemberRequest;
use super::MemberRow;
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

/// In which data a peer agrees with this instance, by comparison of digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PeerAgreement {
    /// The member tables are equal.
    members: bool,
    /// The records of requests suspected of crashing servers are equal.
    suspect_requests: bool,
}

/// Pings a member; `None` if it did not answer.
async fn ping<L: PeerClient>(
    board: &Blackboard,
    links: &L,
    target: &MemberRow,
) -> Option<PeerAgreement> {
    let timeout = Duration::from_millis(board.settings.peers.ping_timeout_ms);
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

/// Pings a member through others; returns whether one of them reached it.
async fn indirect_ping<L: PeerClient>(board: &Blackboard, links: &L, target: &MemberRow) -> bool {
    let timeout = Duration::from_millis(board.settings.peers.ping_timeout_ms * 2);
    let helpers = board.members.lock().indirect_pingers(target.incarnation, INDIRECT_PINGS);
    let mut calls = tokio::task::JoinSet::new();
    for helper in helpers {
        let links = links.clone();
        let request = PeerRequest::IndirectPing { target: target.peer_address };
        calls.spawn(async move { links.call(helper.peer_address, &request, timeout).await });
    }
    while let Some(reply) = calls.join_next().await {
        if matches!(reply, Ok(Ok(PeerReply::Reached(true)))) {
            return true;
        }
    }
    false
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
    /// Pings one member, directly and then indirectly; makes it a suspect if both fail.
    async fn check_member(self, target: MemberRow) {
        let started_ms = now_ms();
        match ping(&self.board, &self.links, &target).await {
            Some(agreement) => {
                if !agreement.suspect_requests {
                    self.exchange_suspects_if_due(target.peer_address).await;
                }
                if !agreement.members {
                    self.sync_members_if_due(target.peer_address).await;
                }
            }
            // This instance was stalled itself; the reply may have arrived unread.
            None if is_late(now_ms() - started_ms, self.board.settings.peers.ping_timeout_ms) => {}
            None => {
                if !indirect_ping(&self.board, &self.links, &target).await
                    && self.board.members.lock().suspect(target.incarnation, now_ms())
                {
                    self.board.publish_members();
                }
            }
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
        let received = sync_members(&self.board, &self.links, peer).await;
        if received.is_some_and(|rows| rows > GOSSIP_ROWS_MAX) {
            // More rows than gossip carries: the fleet is starting. This instance now holds rows
            // that others lack, so it synchronizes again soon.
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

/// Runs the failure detector: pings one member per interval until the process ends.
///
/// A pause of this process does not count against the others: each ping has its own timeout, and a
/// suspicion counts only the time in which this instance was able to receive.
pub async fn run_failure_detector<L: PeerClient>(board: Arc<Blackboard>, links: L) {
    let interval_ms = board.settings.peers.ping_interval_ms;
    let mut ticks = tokio::time::interval(Duration::from_millis(interval_ms));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let detector = FailureDetector {
        board,
        links,
        next_sync_ms: Arc::default(),
        next_suspects_exchange_ms: Arc::default(),
    };
    let ping_loop = async {
        let FailureDetector { board, links, .. } = &detector;
        loop {
            ticks.tick().await;
            let target = board.members.lock().next_ping_target();
            if let Some(target) = target {
                tokio::spawn(detector.clone().check_member(target));
            }
            links.close_idle();
        }
    };
    tokio::join!(ping_loop, expire_suspects(&detector));
}
