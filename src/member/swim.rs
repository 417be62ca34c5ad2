//! The failure detector: pings in rounds, indirect pings, suspicion, and rumours on the way.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;

use super::compare;
use crate::board::Blackboard;
use crate::board::rank;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::peer::Links;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Rumours on one ping or answer; bounds the bytes of control traffic.
const RUMOURS_MAX: usize = 6;
/// Least time between two comparisons that this instance begins, the greatest is twice as long: in
/// a fleet where members change all the while, each instance spends some 300 bytes a second on them.
const COMPARE_PAUSE_MS: u64 = 600;
/// Members that are asked to ping for us.
const HELPERS: usize = 2;
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Instances up to which all are told at once of one that leaves.
const ANNOUNCED_ALL_MAX: usize = 32;
/// The first instances of each zone that are told in a larger fleet: as many as may be homes.
const ANNOUNCED_FIRST: usize = 8;

fn merge_all(board: &Blackboard, rows: &[MemberRow]) {
    let mut changed = false;
    let mut members = board.members.lock();
    for row in rows {
        changed |= members.merge(row, now_ms());
    }
    drop(members);
    if changed {
        board.publish_members();
    }
}

/// Answers a ping: takes its rumours in and gives ours.
pub fn answer_ping(
    board: &Blackboard,
    from: &MemberRow,
    stamp: u64,
    mut rumours: Vec<MemberRow>,
) -> PeerReply {
    board.events.clock.observe(stamp);
    rumours.push(from.clone());
    merge_all(board, &rumours);
    let mut members = board.members.lock();
    let mut told = members.rumours(RUMOURS_MAX, now_ms());
    told.push(members.own_row(now_ms()));
    // A member that was given up must hear so, or it could not refute.
    if let Some(row) = members.row(from.incarnation, now_ms())
        && row.state != from.state
    {
        told.push(row);
    }
    let summary = members.digest().summary();
    drop(members);
    PeerReply::Ack { stamp: board.events.clock.stamp(), summary, rumours: told }
}

/// What a ping came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pinged {
    Silent,
    /// It answered, and believes the same of all members.
    Agrees,
    /// It answered, and believes something else.
    Differs,
}

async fn ping(board: &Blackboard, links: &Links, target: &MemberRow) -> Pinged {
    let within = Duration::from_millis(board.settings.peers.ping_timeout_ms);
    let request = {
        let mut members = board.members.lock();
        PeerRequest::Ping {
            from: members.own_row(now_ms()),
            stamp: board.events.clock.stamp(),
            summary: members.digest().summary(),
            rumours: members.rumours(RUMOURS_MAX, now_ms()),
        }
    };
    let reply = links.call(target.peer, &request, within).await;
    let Ok(PeerReply::Ack { stamp, summary, rumours }) = reply else {
        return Pinged::Silent;
    };
    board.events.clock.observe(stamp);
    merge_all(board, &rumours);
    // Another process on the same address is no sign of life of the target.
    if !rumours.iter().any(|row| row.incarnation == target.incarnation) {
        return Pinged::Silent;
    }
    let agrees = board.members.lock().digest().summary() == summary;
    if agrees { Pinged::Agrees } else { Pinged::Differs }
}

async fn ping_by_helpers(board: &Blackboard, links: &Links, target: &MemberRow) -> bool {
    let within = Duration::from_millis(board.settings.peers.ping_timeout_ms * 2);
    let helpers = board.members.lock().helpers(target.incarnation, HELPERS);
    let mut asked = tokio::task::JoinSet::new();
    for helper in helpers {
        let links = links.clone();
        let request = PeerRequest::PingFor { target: target.peer };
        asked.spawn(async move { links.call(helper.peer, &request, within).await });
    }
    while let Some(reply) = asked.join_next().await {
        if matches!(reply, Ok(Ok(PeerReply::Reached(true)))) {
            return true;
        }
    }
    false
}

/// Pings members in turn, and compares tables with those that believe something else.
#[derive(Clone, Debug)]
struct Detector {
    board: Arc<Blackboard>,
    links: Links,
    /// When the next comparison may begin.
    next_comparison_ms: Arc<AtomicU64>,
}

impl Detector {
    async fn check(self, target: MemberRow) {
        match ping(&self.board, &self.links, &target).await {
            Pinged::Agrees => {}
            Pinged::Differs => self.compare_in_turn(target.peer).await,
            Pinged::Silent => {
                if !ping_by_helpers(&self.board, &self.links, &target).await
                    && self.board.members.lock().suspect(target.incarnation, now_ms())
                {
                    self.board.publish_members();
                }
            }
        }
    }

    /// Compares tables, unless that was done a moment ago.
    async fn compare_in_turn(&self, peer: SocketAddr) {
        let now = now_ms();
        if now < self.next_comparison_ms.load(Ordering::Acquire) {
            return;
        }
        let pause_ms = rand::rng().random_range(COMPARE_PAUSE_MS..=2 * COMPARE_PAUSE_MS);
        self.next_comparison_ms.store(now + pause_ms, Ordering::Release);
        let brought = compare(&self.board, &self.links, peer).await;
        if brought.is_some_and(|rows| rows > RUMOURS_MAX) {
            // The fleet starts: who learned much has much to tell, and little of it is known.
            let soon = now_ms() + COMPARE_PAUSE_MS / 4;
            self.next_comparison_ms.store(soon, Ordering::Release);
        }
    }
}

/// Pings one member each interval until the process ends.
///
/// A pause of this process is not taken for the silence of the others: each ping is judged by
/// its own timeout, and a suspect has its time from when it was suspected.
pub async fn run_swim(board: Arc<Blackboard>, links: Links) {
    let interval_ms = board.settings.peers.ping_interval_ms;
    let suspect_timeout_ms = board.settings.peers.suspect_timeout_ms;
    let mut turns = tokio::time::interval(Duration::from_millis(interval_ms));
    turns.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let detector = Detector { board, links, next_comparison_ms: Arc::default() };
    let Detector { board, links, .. } = &detector;
    loop {
        turns.tick().await;
        let target = board.members.lock().next_target();
        if let Some(target) = target {
            tokio::spawn(detector.clone().check(target));
        }
        links.close_idle();
        let dead = board.members.lock().expire(suspect_timeout_ms, now_ms());
        if !dead.is_empty() {
            board.publish_members();
        }
        for peer in dead {
            if !board.members.lock().answers_at(peer) {
                links.forget(peer);
            }
        }
    }
}

/// Whom to tell of the own state at once: everybody in a small fleet. In a large one, a thousand
/// connections for each instance that stops would be a square over a rolling restart, so only those
/// that are pinged, the first ones of each zone, which others ask, and for an instance that callers
/// may be told of, its own zone.
fn announced_to(board: &Blackboard) -> BTreeSet<SocketAddr> {
    let view = board.members_view();
    let (own, zone) = (board.incarnation, &board.settings.instance.zone);
    if view.serving() <= ANNOUNCED_ALL_MAX {
        let others = view.rows.iter().filter(|row| row.incarnation != own);
        return others.filter(|row| row.state.may_answer()).map(|row| row.peer).collect();
    }
    let pinged = board.members.lock().pinged().iter().map(|row| row.peer).collect::<Vec<_>>();
    let first = view.zones().flat_map(|zone| view.ranked(zone).iter().take(ANNOUNCED_FIRST));
    // Its own row takes no work any more, so the place it had is where it would stand now.
    let own_row = view.row(own);
    let named = |row: &Arc<MemberRow>| {
        let before = view.ranked(zone).iter().take_while(|other| rank(other, row).is_lt());
        before.count() < ANNOUNCED_FIRST
    };
    let in_zone = if own_row.is_some_and(named) { view.ranked(zone) } else { &[] };
    let others = first.chain(in_zone).filter(|row| row.incarnation != own);
    pinged.into_iter().chain(others.map(|row| row.peer)).collect()
}

/// Tells others of the own state at once, instead of waiting for rounds of pings.
pub async fn announce(board: &Blackboard, links: &Links) {
    let own = board.members.lock().own_row(now_ms());
    let mut told = tokio::task::JoinSet::new();
    for address in announced_to(board) {
        let links = links.clone();
        let request = PeerRequest::Ping {
            from: own.clone(),
            stamp: board.events.clock.stamp(),
            summary: board.members.lock().digest().summary(),
            rumours: Vec::new(),
        };
        told.spawn(async move { links.call(address, &request, ANNOUNCE_TIMEOUT).await });
    }
    // Whoever misses this hears it as a rumour.
    while told.join_next().await.is_some() {}
}
