//! The failure detector: pings in rounds, indirect pings, suspicion, and rumours on the way.

use std::sync::Arc;
use std::time::Duration;

use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::member::MemberState;
use crate::peer::Links;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Rumours on one ping or answer; bounds the bytes of control traffic.
const RUMOURS_MAX: usize = 6;
/// Members that are asked to ping for us.
const HELPERS: usize = 2;
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

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
    drop(members);
    PeerReply::Ack { stamp: board.events.clock.stamp(), rumours: told }
}

async fn ping(board: &Blackboard, links: &Links, target: &MemberRow) -> bool {
    let within = Duration::from_millis(board.settings.peers.ping_timeout_ms);
    let request = {
        let mut members = board.members.lock();
        PeerRequest::Ping {
            from: members.own_row(now_ms()),
            stamp: board.events.clock.stamp(),
            rumours: members.rumours(RUMOURS_MAX, now_ms()),
        }
    };
    let Ok(PeerReply::Ack { stamp, rumours }) = links.call(target.peer, &request, within).await
    else {
        return false;
    };
    board.events.clock.observe(stamp);
    let answered = rumours.iter().any(|row| row.incarnation == target.incarnation);
    merge_all(board, &rumours);
    // Another process on the same address is no sign of life of the target.
    answered
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

async fn check(board: Arc<Blackboard>, links: Links, target: MemberRow) {
    if ping(&board, &links, &target).await || ping_by_helpers(&board, &links, &target).await {
        return;
    }
    if board.members.lock().suspect(target.incarnation, now_ms()) {
        board.publish_members();
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
    loop {
        turns.tick().await;
        let target = board.members.lock().next_target();
        if let Some(target) = target {
            tokio::spawn(check(Arc::clone(&board), links.clone(), target));
        }
        links.close_idle();
        let changed = board.members.lock().expire(suspect_timeout_ms, now_ms());
        if changed {
            board.publish_members();
            forget_dead(&board, &links);
        }
    }
}

fn forget_dead(board: &Blackboard, links: &Links) {
    let view = board.members_view();
    for row in view.rows.iter().filter(|row| row.state == MemberState::Dead) {
        let replaced =
            view.rows.iter().any(|other| other.peer == row.peer && other.state.may_answer());
        if !replaced {
            links.forget(row.peer);
        }
    }
}

/// Tells every member of the own state at once, instead of waiting for rounds of pings.
pub async fn announce(board: &Blackboard, links: &Links) {
    let own = board.members.lock().own_row(now_ms());
    let mut told = tokio::task::JoinSet::new();
    let view = board.members_view();
    let others = view
        .rows
        .iter()
        .filter(|row| row.incarnation != board.incarnation && row.state.may_answer());
    for row in others {
        let links = links.clone();
        let address = row.peer;
        let stamp = board.events.clock.stamp();
        let request = PeerRequest::Ping { from: own.clone(), stamp, rumours: Vec::new() };
        told.spawn(async move { links.call(address, &request, ANNOUNCE_TIMEOUT).await });
    }
    // Whoever misses this hears it as a rumour.
    while told.join_next().await.is_some() {}
}
