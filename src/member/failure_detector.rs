//! The failure detector: pings in rounds, indirect pings, suspicion, and rumours on the way.

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

/// Least time between two comparisons that this instance begins, the greatest is twice as long: in
/// a fleet where members change all the while, each instance spends some 300 bytes a second on them.
const SYNC_INTERVAL_MIN_MS: u64 = 600;
/// Least time between two exchanges of suspects that this instance begins. After a loss of power
/// instances keep different parts of what became suspect, and would exchange them with each ping.
const SUSPECTS_EXCHANGE_INTERVAL_MIN_MS: u64 = 400;
/// Members that are asked to ping for us.
const INDIRECT_PINGS: usize = 2;

/// Where another instance believes the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PeerAgreement {
    members: bool,
    /// The requests under which servers ended.
    suspect_requests: bool,
}

/// Asks for a sign of life; `None` without one.
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
    let reply = links.call(target.peer, &request, timeout).await;
    let Ok(PeerReply::Ack { stamp, digest_hash, suspects_digest, gossip }) = reply else {
        return None;
    };
    board.events.clock.observe(stamp);
    merge_gossip(board, &gossip);
    // Another process on the same address is no sign of life of the target.
    if !gossip.iter().any(|row| row.incarnation == target.incarnation) {
        return None;
    }
    let members = board.members.lock().digest().hash() == digest_hash;
    Some(PeerAgreement { members, suspect_requests: board.quarantine.digest() == suspects_digest })
}

async fn indirect_ping<L: PeerClient>(board: &Blackboard, links: &L, target: &MemberRow) -> bool {
    let timeout = Duration::from_millis(board.settings.peers.ping_timeout_ms * 2);
    let helpers = board.members.lock().indirect_pingers(target.incarnation, INDIRECT_PINGS);
    let mut calls = tokio::task::JoinSet::new();
    for helper in helpers {
        let links = links.clone();
        let request = PeerRequest::IndirectPing { target: target.peer };
        calls.spawn(async move { links.call(helper.peer, &request, timeout).await });
    }
    while let Some(reply) = calls.join_next().await {
        if matches!(reply, Ok(Ok(PeerReply::Reached(true)))) {
            return true;
        }
    }
    false
}

/// Pings members in turn, and compares tables with those that believe something else.
#[derive(Clone, Debug)]
struct FailureDetector<L> {
    board: Arc<Blackboard>,
    links: L,
    /// When the next comparison may begin.
    next_sync_ms: Arc<AtomicU64>,
    next_suspects_exchange_ms: Arc<AtomicU64>,
}

impl<L: PeerClient> FailureDetector<L> {
    async fn check_member(self, target: MemberRow) {
        let started_ms = now_ms();
        match ping(&self.board, &self.links, &target).await {
            Some(agreement) => {
                if !agreement.suspect_requests {
                    self.exchange_suspects_if_due(target.peer).await;
                }
                if !agreement.members {
                    self.sync_members_if_due(target.peer).await;
                }
            }
            // What was not read in time may be there.
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

    /// Exchanges what is known of suspects, unless that was done a moment ago.
    async fn exchange_suspects_if_due(&self, peer: SocketAddr) {
        let now = now_ms();
        if now < self.next_suspects_exchange_ms.load(Ordering::Acquire) {
            return;
        }
        self.next_suspects_exchange_ms
            .store(now + SUSPECTS_EXCHANGE_INTERVAL_MIN_MS, Ordering::Release);
        exchange_suspects(&self.board, &self.links, peer).await;
    }

    /// Compares tables, unless that was done a moment ago.
    async fn sync_members_if_due(&self, peer: SocketAddr) {
        let now = now_ms();
        if now < self.next_sync_ms.load(Ordering::Acquire) {
            return;
        }
        let pause_ms = rand::rng().random_range(SYNC_INTERVAL_MIN_MS..=2 * SYNC_INTERVAL_MIN_MS);
        self.next_sync_ms.store(now + pause_ms, Ordering::Release);
        let received = sync_members(&self.board, &self.links, peer).await;
        if received.is_some_and(|rows| rows > GOSSIP_ROWS_MAX) {
            // The fleet starts: who learned much has much to tell, and little of it is known.
            let next_ms = now_ms() + SYNC_INTERVAL_MIN_MS / 4;
            self.next_sync_ms.store(next_ms, Ordering::Release);
        }
    }
}

/// Declares suspects dead in time, until the process ends.
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

/// Pings one member each interval until the process ends.
///
/// A pause of this process is not taken for the silence of the others: each ping is judged by
/// its own timeout, and a suspect by the time in which this instance could hear it.
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
