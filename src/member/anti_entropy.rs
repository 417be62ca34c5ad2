//! Two instances find out in which members they differ, and tell each other of those.
//!
//! Rumours are for a few changes. When hundreds of instances start or stop at once, or a rumour was
//! missed, this carries the rest: each row goes to each instance about once, where rumours send it
//! some nine times over, and lose it all the same now and then.

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

/// A comparison of 5,000 members takes some 25 KB; a tenth of this over the slowest links.
const SYNC_TIMEOUT: Duration = Duration::from_millis(800);

/// Answers the first question of a comparison: the parts that differ, and what is believed there.
pub(super) fn handle_compare(board: &Blackboard, theirs: &MembersDigest) -> PeerReply {
    let members = board.members.lock();
    let buckets = members.digest().differing_buckets(theirs);
    let fingerprints = members.fingerprints_in_buckets(&buckets);
    PeerReply::Differing { buckets, fingerprints }
}

/// Answers the second one: takes rows in, and returns those asked for, and those that are known
/// better here.
pub(super) fn handle_exchange(board: &Blackboard, wanted: &[u32], rows: &[MemberRow]) -> PeerReply {
    let mut members = board.members.lock();
    let mut reply = members.rows_with_fingerprints(wanted, now_ms());
    reply.extend(merge_rows(&mut members, rows));
    drop(members);
    board.publish_members();
    PeerReply::Members(reply)
}

/// Takes rows in; returns the own ones that override some of them.
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

/// What this instance asks for, and tells, after the other named what it believes of some parts.
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

/// Compares tables with another instance; returns how many rows that brought, `None` without an
/// answer.
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
    if wanted.is_empty() && rows.is_empty() {
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
        // Lost, the next comparison finds the same again.
        let _ = links.call(peer, &request, SYNC_TIMEOUT).await;
    }
    Some(rows.len())
}
