//! Graceful shutdown of a daemon, without cutting off a request.

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

/// Time limit of one call that hands over a part of the outcomes.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Added to the time that callers may cache an address response, for responses in transit.
const ADDRESS_KEEP_MARGIN_MS: u64 = 200;

/// Shuts down in this order: announce that the instance leaves, so that no new address response
/// names it; serve until every older response has expired; close connections as they become idle;
/// finish the requests in flight, those forwarded by peers included; hand over the outcomes;
/// announce that it has left.
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

/// Hands the outcome table over to one other instance, which becomes the owner of this instance's
/// idempotency keys.
///
/// A failed handover is not tried with another instance: rows may have arrived at the first, and
/// two successors could each run the request of a key.
async fn hand_over_outcomes(board: &Blackboard, links: &Links) -> Option<u64> {
    let view = board.members_view();
    let own_zone = &board.settings.instance.zone;
    let candidates = view
        .rows
        .iter()
        .filter(|row| row.incarnation != board.incarnation && row.state == MemberState::Alive);
    let started_ms = |incarnation| board.members.lock().started_ms(incarnation).unwrap_or(u64::MAX);
    let preference =
        |row: &&Arc<MemberRow>| (row.zone == *own_zone, Reverse(started_ms(row.incarnation)));
    let successor = candidates.max_by_key(preference)?;
    let mut count = 0;
    for snapshot in board.outcomes.close() {
        count += snapshot.rows.len();
        if !send_snapshot(links, successor.peer_address, &snapshot).await {
            return None;
        }
    }
    board.record_event(EventKind::HandedOver { rows: count, to: successor.incarnation });
    Some(successor.incarnation)
}

/// Sends a snapshot in parts; a final, empty part marks the end.
async fn send_snapshot(links: &Links, to: SocketAddr, snapshot: &OwnerSnapshot) -> bool {
    let closed_ms = now_ms();
    // A row whose response is too large for a message is sent without it: that the key ran must
    // not be lost.
    let rows: Vec<HandoverRow> =
        snapshot.rows.iter().map(HandoverRow::without_oversized_answer).collect();
    let parts = split_rows(&rows).into_iter().map(|rows| (rows, false));
    for (rows, last) in parts.chain([(Vec::new(), true)]) {
        let uptime_ms = snapshot.uptime_ms + now_ms().saturating_sub(closed_ms);
        let part = OwnerSnapshot { uptime_ms, rows, ..*snapshot };
        let request = PeerRequest::HandOver { part, last };
        if links.call(to, &request, HAND_OVER_TIMEOUT).await.is_err() {
            return false;
        }
    }
    true
}
