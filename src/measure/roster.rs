//! The platform's list of backend servers: it lags, but any word that one leaves suffices.
//!
//! Only the instances that watch the store ask for the list, so that the platform's reads do not
//! grow with the fleet; they tell the others of their zone.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::board::Blackboard;
use crate::board::EventKind;
use crate::catalog::watches;
use crate::peer::Links;
use crate::peer::PeerCalls;
use crate::peer::PeerRequest;
use crate::route::CloseReason;
use crate::store::Roster;

const TURN: Duration = Duration::from_secs(2);
const TELL_TIMEOUT: Duration = Duration::from_millis(500);
/// Unchanged lists are told again after this many turns, for those that missed them.
const REPEAT_TURNS: u32 = 5;

/// Asks for the list and tells it on; a list that cannot be had changes nothing.
pub async fn run_roster<R: Roster>(board: Arc<Blackboard>, roster: R, links: Links) {
    let mut told: Option<BTreeSet<SocketAddr>> = None;
    let mut turns = 0;
    loop {
        tokio::time::sleep(TURN).await;
        if !watches(&board) {
            continue;
        }
        let listed = roster.backend_servers().await;
        board.note_store(listed.as_ref().err().map(ToString::to_string));
        let Ok(listed) = listed else {
            continue;
        };
        let leaving: BTreeSet<SocketAddr> =
            listed.iter().filter(|row| row.leaving).map(|row| row.address).collect();
        mark_listed(&board, &leaving);
        turns += 1;
        let first = told.is_none() && leaving.is_empty();
        if !first && (told.as_ref() != Some(&leaving) || turns % REPEAT_TURNS == 0) {
            tell_zone(&board, &links, &leaving);
        }
        told = Some(leaving);
    }
}

fn tell_zone(board: &Blackboard, links: &Links, leaving: &BTreeSet<SocketAddr>) {
    let request = PeerRequest::Listed(leaving.iter().copied().collect());
    let view = board.members_view();
    let zone = &board.settings.instance.zone;
    let others = view.rows.iter().filter(|row| {
        row.zone == *zone && row.incarnation != board.incarnation && row.state.may_answer()
    });
    for row in others {
        let (links, request, address) = (links.clone(), request.clone(), row.peer);
        tokio::spawn(async move { links.call(address, &request, TELL_TIMEOUT).await });
    }
}

/// Marks the servers listed as leaving, and unmarks those that are not any more.
pub fn mark_listed(board: &Blackboard, leaving: &BTreeSet<SocketAddr>) {
    for (name, state) in board.services().iter() {
        for server in &state.spec.backend_servers {
            let leaves = leaving.contains(&server.address);
            if !state.core.binder.close(&server.id, CloseReason::Listed, leaves) {
                continue;
            }
            let (service, id) = (name.clone(), server.id.clone());
            board.note(if leaves {
                EventKind::ServerLeaving { service, server: id }
            } else {
                // The list saw it leave and come back, which outweighs its own older word.
                let _ = state.core.binder.close(&server.id, CloseReason::Told, false);
                EventKind::ServerBack { service, server: id }
            });
        }
    }
}
