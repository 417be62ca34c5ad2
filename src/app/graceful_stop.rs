//! The planned stop of an instance, which cuts off no request.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::board::Blackboard;
use crate::board::EventKind;
use crate::board::Phase;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::member::MemberState;
use crate::member::announce;
use crate::outcome::HandoverRow;
use crate::outcome::OwnerSnapshot;
use crate::peer::Links;
use crate::peer::PeerClient;
use crate::peer::PeerRequest;
use crate::peer::split_rows;
use crate::route::CallerListener;

const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Added to the time that callers may keep an answer, for answers on their way.
const ADDRESS_KEEP_MARGIN_MS: u64 = 200;

/// Stops in order: named in no new answer; served on until no caller holds an old answer any
/// more; connections closed once idle; passed work done; outcomes handed over; gone.
pub async fn stop_gracefully(board: &Blackboard, links: &Links, listener: CallerListener) {
    board.set_phase(Phase::Leaving);
    board.record_event(EventKind::Stopping);
    board.members.lock().set_own_state(MemberState::Leaving, None, now_ms());
    board.publish_members();
    announce(board, links).await;
    let keep_ms = board.settings.requests.address_keep_ms + ADDRESS_KEEP_MARGIN_MS;
    tokio::time::sleep(Duration::from_millis(keep_ms)).await;
    listener.stop().await;
    while board.requests_in_flight() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let successor = hand_over_outcomes(board, links).await;
    board.members.lock().set_own_state(MemberState::Left, successor, now_ms());
    board.publish_members();
    announce(board, links).await;
    board.set_phase(Phase::Stopped);
}

/// Gives the record of outcomes to one other instance, which answers for our keys from then on.
///
/// Only one is ever tried after a row may have arrived: two successors could each run a key.
async fn hand_over_outcomes(board: &Blackboard, links: &Links) -> Option<u64> {
    let view = board.members_view();
    let own_zone = &board.settings.instance.zone;
    let candidates = view
        .rows
        .iter()
        .filter(|row| row.incarnation != board.incarnation && row.state == MemberState::Alive);
    let born_ms = |incarnation| board.members.lock().started_ms(incarnation).unwrap_or(u64::MAX);
    let preference =
        |row: &&Arc<MemberRow>| (row.zone == *own_zone, Reverse(born_ms(row.incarnation)));
    let successor = candidates.max_by_key(preference)?;
    let mut count = 0;
    for record in board.outcomes.close() {
        count += record.rows.len();
        if !send_snapshot(links, successor.peer_address, &record).await {
            return None;
        }
    }
    board.record_event(EventKind::HandedOver { rows: count, to: successor.incarnation });
    Some(successor.incarnation)
}

/// Sends a record in parts; the last, empty part tells that all rows were sent.
async fn send_snapshot(links: &Links, to: SocketAddr, record: &OwnerSnapshot) -> bool {
    let closed_ms = now_ms();
    // A row whose answer fits no message goes without it: what counts is that the key ran.
    let rows: Vec<HandoverRow> =
        record.rows.iter().map(HandoverRow::without_oversized_answer).collect();
    let parts = split_rows(&rows).into_iter().map(|rows| (rows, false));
    for (rows, last) in parts.chain([(Vec::new(), true)]) {
        let uptime_ms = record.uptime_ms + now_ms().saturating_sub(closed_ms);
        let part = OwnerSnapshot { uptime_ms, rows, ..*record };
        let request = PeerRequest::HandOver { part, last };
        if links.call(to, &request, HAND_OVER_TIMEOUT).await.is_err() {
            return false;
        }
    }
    true
}
