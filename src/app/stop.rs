//! The planned stop of an instance, which cuts off no request.

use std::time::Duration;

use crate::board::Blackboard;
use crate::board::EventKind;
use crate::board::Phase;
use crate::clock::now_ms;
use crate::member::MemberState;
use crate::member::announce;
use crate::outcome::KeptRow;
use crate::peer::Links;
use crate::peer::PeerRequest;
use crate::route::Door;

const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);
const ROWS_PER_MESSAGE: usize = 200;
const TURN: Duration = Duration::from_millis(10);
/// Added to the time that callers may keep an answer, for answers on their way.
const KEEP_MARGIN_MS: u64 = 200;

/// Stops in order: named in no new answer; served on until no caller holds an old answer any
/// more; connections closed once idle; passed work done; outcomes handed over; gone.
pub async fn stop(board: &Blackboard, links: &Links, door: Door) {
    board.set_phase(Phase::Leaving);
    board.note(EventKind::Stopping);
    board.members.lock().set_own(MemberState::Leaving, None, now_ms());
    board.publish_members();
    announce(board, links).await;
    let keep_ms = board.settings.requests.address_keep_ms + KEEP_MARGIN_MS;
    tokio::time::sleep(Duration::from_millis(keep_ms)).await;
    door.stop().await;
    while board.requests_in_flight() > 0 {
        tokio::time::sleep(TURN).await;
    }
    let successor = hand_over(board, links).await;
    board.members.lock().set_own(MemberState::Left, successor, now_ms());
    board.publish_members();
    announce(board, links).await;
    board.set_phase(Phase::Stopped);
}

/// Gives the record of outcomes to one other instance, which answers for our keys from then on.
///
/// Only one is ever tried after a row may have arrived: two successors could each run a key.
async fn hand_over(board: &Blackboard, links: &Links) -> Option<u64> {
    let view = board.members_view();
    let own_zone = &board.settings.instance.zone;
    let takers = view
        .rows
        .iter()
        .filter(|row| row.incarnation != board.incarnation && row.state == MemberState::Alive);
    let successor = takers.max_by_key(|row| (row.zone == *own_zone, row.uptime_ms))?;
    let rows = board.outcomes.close(board.incarnation);
    let count = rows.len();
    if !send_rows(board, links, successor.peer, rows).await {
        return None;
    }
    board.note(EventKind::HandedOver { rows: count, to: successor.incarnation });
    Some(successor.incarnation)
}

async fn send_rows(
    board: &Blackboard,
    links: &Links,
    to: std::net::SocketAddr,
    rows: Vec<KeptRow>,
) -> bool {
    let parts: Vec<&[KeptRow]> = rows.chunks(ROWS_PER_MESSAGE).collect();
    let last_at = parts.len();
    for (at, part) in parts.into_iter().chain([&[][..]]).enumerate() {
        let uptime_ms = board.members.lock().own_row(now_ms()).uptime_ms;
        let request = PeerRequest::HandOver {
            incarnation: board.incarnation,
            uptime_ms,
            rows: part.to_vec(),
            last: at == last_at,
        };
        if links.call(to, &request, HAND_OVER_TIMEOUT).await.is_err() {
            return false;
        }
    }
    true
}
