//! Replicates the configuration between instances: pushes for low latency, anti-entropy by digests
//! for completeness.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::ServiceRows;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::board::EventKind;
use crate::member::MemberRow;
use crate::peer::Links;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::split_rows;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Service names per fetch request.
const NAMES_PER_MESSAGE: usize = 64;
/// Longest interval between two repairs, in milliseconds; bounds how long an instance lags after a
/// lost push.
const REPAIR_INTERVAL_MS: u64 = 1_500;

/// Merges rows into the active configuration; returns those that were newer.
pub fn merge_rows(board: &Blackboard, rows: ServiceRows) -> ServiceRows {
    let mut updated = ServiceRows::new();
    let mut catalog = board.catalog.lock();
    for (name, row) in rows {
        if catalog.merge(&name, row.clone()) {
            updated.push((name, row));
        }
    }
    drop(catalog);
    for (name, row) in &updated {
        board.counters.add(Counter::ConfigMerged);
        board.record_event(EventKind::ConfigApplied {
            service: name.clone(),
            revision: row.revision,
        });
    }
    if !updated.is_empty() {
        board.notify_changed();
    }
    updated
}

/// The other members that may answer.
fn other_instances(board: &Blackboard) -> Vec<Arc<MemberRow>> {
    let view = board.members_view();
    let others = view
        .rows
        .iter()
        .filter(|row| row.incarnation != board.incarnation && row.state.may_answer());
    others.cloned().collect()
}

/// Sends rows to the other instances of the own zone and to one instance of each other zone.
///
/// Every zone has watchers of its own; the push to one instance elsewhere saves that zone the wait
/// for its watchers while the store is slow. A lost push is made up for by a repair.
pub fn push_rows(board: &Blackboard, links: &Links, rows: &ServiceRows) {
    if rows.is_empty() {
        return;
    }
    let groups = split_rows(rows);
    let own_zone = &board.settings.instance.zone;
    let mut pushed_zones: Vec<String> = Vec::new();
    for row in other_instances(board) {
        if row.zone != *own_zone {
            if pushed_zones.contains(&row.zone) {
                continue;
            }
            pushed_zones.push(row.zone.clone());
        }
        for group in &groups {
            let request = PeerRequest::Changes(group.clone());
            let links = links.clone();
            let address = row.peer_address;
            tokio::spawn(async move {
                let _ = links.call(address, &request, CALL_TIMEOUT).await;
            });
        }
    }
}

/// Compares digests with one peer and exchanges the rows that are newer on either side.
async fn repair_with(board: &Blackboard, links: &Links, peer: &MemberRow) {
    let digest = board.catalog.lock().digest();
    let reply = links.call(peer.peer_address, &PeerRequest::Digest { digest }, CALL_TIMEOUT).await;
    let Ok(PeerReply::Summary(summary)) = reply else {
        return;
    };
    let (stale, newer) = {
        let catalog = board.catalog.lock();
        (catalog.stale_names(&summary), catalog.rows_newer_than(&summary))
    };
    for names in stale.chunks(NAMES_PER_MESSAGE) {
        let request = PeerRequest::Fetch(names.to_vec());
        if let Ok(PeerReply::Changes(rows)) =
            links.call(peer.peer_address, &request, CALL_TIMEOUT).await
        {
            merge_rows(board, rows);
        }
    }
    for group in split_rows(&newer) {
        let request = PeerRequest::Changes(group);
        let _ = links.call(peer.peer_address, &request, CALL_TIMEOUT).await;
    }
}

/// Repairs what pushes missed, with one random peer at a time.
pub async fn run_repair(board: Arc<Blackboard>, links: Links) {
    loop {
        let jitter_ms = rand::rng().random_range(0..REPAIR_INTERVAL_MS / 2);
        tokio::time::sleep(Duration::from_millis(REPAIR_INTERVAL_MS - jitter_ms)).await;
        let peers = other_instances(&board);
        if peers.is_empty() {
            continue;
        }
        let at = rand::rng().random_range(0..peers.len());
        repair_with(&board, &links, &peers[at]).await;
    }
}
