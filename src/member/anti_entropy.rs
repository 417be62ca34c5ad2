//! Anti-entropy between two member tables: they compare digests and exchange the rows that differ.
//!
//! Gossip suits a few changes. When hundreds of instances start or stop at once, or a gossip
//! message is lost, anti-entropy carries the rest: it sends each row to each instance about once,
//! where gossip sends it some nine times and still misses an instance now and then.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::MemberRequest;
use super::MemberRow;
use super::MemberTable;
use super::MembersDigest;
use super::row::fingerprint;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Timeout of one call. Comparing 5,000 members takes some 25 KB, which uses a tenth of this time
/// on the slowest links.
const SYNC_TIMEOUT: Duration = Duration::from_millis(800);

/// Handles a digest of a peer: replies with the buckets that differ and the fingerprints of their
/// rows.
pub(super) fn handle_compare(board: &Blackboard, theirs: &MembersDigest) -> PeerReply {
    let members = board.members.lock();
    let buckets = members.digest().differing_buckets(theirs);
    let fingerprints = members.fingerprints_in_buckets(&buckets);
    PeerReply::Differing { buckets, fingerprints }
}

/// Handles an exchange: merges the peer's rows, and replies with the rows it asked for and those
/// that override rows it sent.
pub(super) fn handle_exchange(board: &Blackboard, wanted: &[u32], rows: &[MemberRow]) -> PeerReply {
    let mut members = board.members.lock();
    let mut reply = members.rows_with_fingerprints(wanted, now_ms());
    reply.extend(merge_rows(&mut members, rows));
    drop(members);
    board.publish_members();
    PeerReply::Members(reply)
}

/// Merges rows; returns the rows of this table that override some of them.
fn merge_rows(members: &mut MemberTable, rows: &[MemberRow]) -> Vec<MemberRow> {
    let now_ms = now_ms();
    for row in rows {
        members.merge_synced(row, now_ms);
    }
    let overriding = rows.iter().filter_map(|row| {
        let own = members.row(row.incarnation, now_ms)?;
        own.overrides(row).then_some(own)
    });
    overriding.collect()
}

/// The fingerprints to request and the rows to send, given the peer's fingerprints in some buckets.
fn rows_to_exchange(
    members: &MemberTable,
    buckets: &[usize],
    theirs: &[u32],
) -> (Vec<u32>, Vec<MemberRow>) {
    let theirs: HashSet<u32> = theirs.iter().copied().collect();
    let own: HashSet<u32> = members.fingerprints_in_buckets(buckets).into_iter().collect();
    let wanted = theirs.difference(&own).copied().collect();
    let rows = members.rows_in_buckets(buckets, now_ms()).into_iter();
    let to_send = rows.filter(|row| fingerprint(row).is_some_and(|own| !theirs.contains(&own)));
    (wanted, to_send.collect())
}

/// Synchronizes member tables with a peer; returns the number of rows in which they differed, `None`
/// if the peer did not answer.
///
/// Rows that only the peer lacked count as well: a peer that knows less cannot tell whether this
/// instance knows all.
pub async fn sync_members<L: PeerClient>(
    board: &Blackboard,
    links: &L,
    peer: SocketAddr,
) -> Option<usize> {
    let digest = board.members.lock().digest().clone();
    let reply = links
        .call(peer, &PeerRequest::Member(MemberRequest::Compare(digest)), SYNC_TIMEOUT)
        .await
        .ok()?;
    let PeerReply::Differing { buckets, fingerprints } = reply else {
        return None;
    };
    let (wanted, rows) = rows_to_exchange(&board.members.lock(), &buckets, &fingerprints);
    let differing = wanted.len().max(rows.len());
    if differing == 0 {
        return Some(0);
    }
    let request = PeerRequest::Member(MemberRequest::Exchange { wanted, rows });
    let Ok(PeerReply::Members(rows)) = links.call(peer, &request, SYNC_TIMEOUT).await else {
        return None;
    };
    let overriding = merge_rows(&mut board.members.lock(), &rows);
    board.publish_members();
    if !overriding.is_empty() {
        let exchange = MemberRequest::Exchange { wanted: Vec::new(), rows: overriding };
        let request = PeerRequest::Member(exchange);
        // If this call is lost, the next synchronization finds the same difference.
        let _ = links.call(peer, &request, SYNC_TIMEOUT).await;
    }
    Some(differing)
}
