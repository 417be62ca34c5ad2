//! Polls the platform's list of backend servers and closes those that it lists as leaving. The
//! list lags, but a single source that reports a server as leaving is enough to close it.
//!
//! Only the instances that watch the store poll the list, so that the reads of the platform do
//! not grow with the fleet; they send it to the other instances of their zone.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::board::Blackboard;
use crate::board::EventKind;
use crate::catalog::is_watcher;
use crate::peer::Links;
use crate::peer::PeerClient;
use crate::peer::PeerRequest;
use crate::route::CloseReason;
use crate::store::Roster;

/// Interval between two polls of the platform's list.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of sending the leaving servers to another instance.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// An unchanged list is sent again after this many polls, for the instances that missed it.
const RESEND_POLLS: u32 = 5;

/// Polls the list, applies it and sends it on. A failed poll changes nothing.
pub async fn run_roster<R: Roster>(board: Arc<Blackboard>, roster: R, links: Links) {
    let mut sent: Option<BTreeSet<SocketAddr>> = None;
    let mut polls = 0;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !is_watcher(&board) {
            continue;
        }
        let listed = roster.backend_servers().await;
        board.record_store_result(listed.as_ref().err().map(ToString::to_string));
        let Ok(listed) = listed else {
            continue;
        };
        let leaving: BTreeSet<SocketAddr> =
            listed.iter().filter(|row| row.leaving).map(|row| row.address).collect();
        apply_platform_list(&board, &leaving);
        polls += 1;
        let first = sent.is_none() && leaving.is_empty();
        if !first && (sent.as_ref() != Some(&leaving) || polls % RESEND_POLLS == 0) {
            send_to_zone(&board, &links, &leaving);
        }
        sent = Some(leaving);
    }
}

/// Sends the addresses of the leaving servers to the other instances of this zone.
fn send_to_zone(board: &Blackboard, links: &Links, leaving: &BTreeSet<SocketAddr>) {
    let request = PeerRequest::ServersLeaving(leaving.iter().copied().collect());
    let view = board.members_view();
    let zone = &board.settings.instance.zone;
    let others = view.rows.iter().filter(|row| {
        row.zone == *zone && row.incarnation != board.incarnation && row.state.may_answer()
    });
    for row in others {
        let (links, request, address) = (links.clone(), request.clone(), row.peer_address);
        tokio::spawn(async move { links.call(address, &request, SEND_TIMEOUT).await });
    }
}

/// Closes the servers listed as leaving, and reopens those that no longer are.
pub fn apply_platform_list(board: &Blackboard, leaving: &BTreeSet<SocketAddr>) {
    for (name, state) in board.services().iter() {
        for server in &state.spec.backend_servers {
            let is_leaving = leaving.contains(&server.address);
            if !state.runtime.slot_queue.set_closed(
                &server.id,
                CloseReason::PlatformReported,
                is_leaving,
            ) {
                continue;
            }
            let (service, id) = (name.clone(), server.id.clone());
            board.record_event(if is_leaving {
                EventKind::ServerLeaving { service, server: id }
            } else {
                // The platform saw the server leave and return, which overrides the server's own
                // older announcement.
                let _ = state.runtime.slot_queue.set_closed(
                    &server.id,
                    CloseReason::SelfReported,
                    false,
                );
                EventKind::ServerBack { service, server: id }
            });
        }
    }
}
