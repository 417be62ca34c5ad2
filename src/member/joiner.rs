//! Finding the other instances: seeds from the settings and the platform's list.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::task::JoinSet;

use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::peer::Links;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::store::Roster;

/// An address whose machine is away does not even refuse: others must not wait for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval while no other instance is known. After a loss of power of all, each instance gives out
/// the slots of all servers without knowing of the others until it has found one; a call that is
/// refused costs next to nothing.
const ALONE_MS: u64 = 40;
/// Turns while alone between two looks into the platform's list, each of which is paid for.
const ALONE_LIST_TURNS: u64 = 16;
const SMALL_FLEET: u64 = 20;
/// Addresses asked in one turn.
const ASKED_MAX: usize = 3;

fn known_addresses(board: &Blackboard) -> BTreeSet<SocketAddr> {
    let view = board.members_view();
    let answering = view.rows.iter().filter(|row| row.state.may_answer());
    answering.map(|row| row.peer).collect()
}

/// Addresses of instances that may be there and are not known, in random order.
async fn unknown_addresses<R: Roster>(
    board: &Blackboard,
    roster: &R,
    turn: u64,
) -> Vec<SocketAddr> {
    let mut found: BTreeSet<SocketAddr> = board.settings.peers.seeds.iter().copied().collect();
    // Each call to the platform has its price; the seeds are tried first.
    let alone = board.members_view().serving() <= 1;
    let list_due = if alone { turn % ALONE_LIST_TURNS == ALONE_LIST_TURNS - 1 } else { turn > 0 };
    if found.is_empty() || list_due {
        let listed = roster.instances().await;
        board.note_store(listed.as_ref().err().map(ToString::to_string));
        found.extend(listed.unwrap_or_default().iter().map(|row| row.address));
    }
    let known = known_addresses(board);
    let mut unknown: Vec<SocketAddr> = found.difference(&known).copied().collect();
    for at in (1..unknown.len()).rev() {
        unknown.swap(at, rand::rng().random_range(0..=at));
    }
    unknown
}

async fn join_by(board: Arc<Blackboard>, links: Links, address: SocketAddr) {
    let own = board.members.lock().own_row(now_ms());
    let reply = links.call(address, &PeerRequest::Join(own), CALL_TIMEOUT).await;
    let Ok(PeerReply::Members(rows)) = reply else {
        return;
    };
    let mut changed = false;
    for row in &rows {
        changed |= board.members.lock().merge(row, now_ms());
    }
    if changed {
        board.publish_members();
    }
}

/// Joins, and goes on looking: two groups that formed while parted find each other again.
pub async fn run_joiner<R: Roster>(board: Arc<Blackboard>, roster: R, links: Links) {
    let mut turn = 0;
    loop {
        let unknown = unknown_addresses(&board, &roster, turn).await;
        turn += 1;
        let mut asked = JoinSet::new();
        for address in unknown.into_iter().take(ASKED_MAX) {
            asked.spawn(join_by(Arc::clone(&board), links.clone(), address));
        }
        // One answer is enough for a start; the others go on.
        let found = async {
            while board.members_view().serving() <= 1 && asked.join_next().await.is_some() {}
        };
        let _ = tokio::time::timeout(Duration::from_millis(ALONE_MS), found).await;
        asked.detach_all();
        // The whole fleet together asks the platform about as often as a small one does; it
        // takes one instance to find another group, and both become one.
        let known = board.members_view().serving() as u64;
        let joined_ms = board.settings.peers.list_interval_ms * known.div_ceil(SMALL_FLEET);
        let pause_ms = if known <= 1 { ALONE_MS } else { joined_ms };
        let jitter_ms = rand::rng().random_range(0..=pause_ms / 2);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
    }
}
