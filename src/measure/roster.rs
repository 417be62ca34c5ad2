//! The platform's list of backend servers: it lags, but any word that one leaves suffices.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::board::Blackboard;
use crate::board::EventKind;
use crate::route::CloseReason;
use crate::store::Roster;

const TURN: Duration = Duration::from_secs(2);

/// Marks and unmarks servers as the list says; a list that cannot be had changes nothing.
pub async fn run_roster<R: Roster>(board: Arc<Blackboard>, roster: R) {
    loop {
        tokio::time::sleep(TURN).await;
        let listed = roster.backend_servers().await;
        board.note_store(listed.as_ref().err().map(ToString::to_string));
        let Ok(listed) = listed else {
            continue;
        };
        let leaving: HashMap<SocketAddr, bool> =
            listed.iter().map(|row| (row.address, row.leaving)).collect();
        mark_all(&board, &leaving);
    }
}

fn mark_all(board: &Blackboard, leaving: &HashMap<SocketAddr, bool>) {
    for (name, state) in board.services().iter() {
        for server in &state.spec.backend_servers {
            let leaves = leaving.get(&server.address).copied().unwrap_or(false);
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
