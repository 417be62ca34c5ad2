//! Finding the other instances: seeds from the settings and the platform's list.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use tokio::task::JoinHandle;

use super::MemberRequest;
use super::MemberRow;
use super::sync_members;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::store::Roster;

/// An address whose machine is away does not even refuse: others must not wait for it.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval while no other instance is known, and the time that one address is given before the next
/// one is asked. After a loss of power of all, each instance gives out the slots of all servers
/// without knowing of the others until it has found one; a call that is refused costs next to
/// nothing.
const ALONE_INTERVAL_MS: u64 = 40;
/// Turns while alone between two looks into the platform's list, each of which is paid for.
const ALONE_ROUNDS_PER_LISTING: u64 = 16;
const INSTANCES_PER_LISTING: u64 = 20;
/// Comparisons after a join, at most, and the pause between two: of 500 instances that start within
/// 0.3 s all then know the same homes within a second.
const CATCH_UP_ROUNDS_MAX: u32 = 5;
const CATCH_UP_PAUSE: Duration = Duration::from_millis(100);
/// A comparison that brings no more than this leaves the rest to rumours.
const CAUGHT_UP_ROWS_MAX: usize = 6;
/// Addresses asked in one turn.
const JOIN_REQUESTS_MAX: usize = 3;

/// Joins the others by one address after the other.
#[derive(Clone, Debug)]
struct Joiner<L> {
    board: Arc<Blackboard>,
    links: L,
    /// Addresses that were asked and have not answered yet: of hundreds of instances that start
    /// together each asks the same few, and one that is slow to answer must not be asked again.
    pending_joins: Arc<Mutex<HashSet<SocketAddr>>>,
}

impl<L: PeerClient> Joiner<L> {
    /// Whether no other instance is known.
    fn is_alone(&self) -> bool {
        self.board.members_view().running_count() <= 1
    }

    /// Addresses of instances that may be there and are not known, in random order.
    async fn unknown_addresses<R: Roster>(&self, roster: &R, listing_due: bool) -> Vec<SocketAddr> {
        let settings = &self.board.settings;
        let mut found: BTreeSet<SocketAddr> = settings.peers.seeds.iter().copied().collect();
        // Each call to the platform has its price; the seeds are tried first.
        if found.is_empty() || listing_due {
            let listed = roster.instances().await;
            self.board.record_store_result(listed.as_ref().err().map(ToString::to_string));
            found.extend(listed.unwrap_or_default().iter().map(|row| row.address));
        }
        let members = self.board.members.lock();
        let unknown = found.into_iter().filter(|address| !members.may_answer_at(*address));
        let mut unknown: Vec<SocketAddr> = unknown.collect();
        drop(members);
        for at in (1..unknown.len()).rev() {
            unknown.swap(at, rand::rng().random_range(0..=at));
        }
        unknown
    }

    /// Asks one address, which tells whether it answered; `None` where its answer is still awaited
    /// from before.
    fn start_join(&self, address: SocketAddr) -> Option<JoinHandle<bool>> {
        if !self.pending_joins.lock().insert(address) {
            return None;
        }
        let joiner = self.clone();
        Some(tokio::spawn(async move {
            let answered = joiner.join_via(address).await;
            joiner.pending_joins.lock().remove(&address);
            answered
        }))
    }

    async fn join_via(&self, address: SocketAddr) -> bool {
        let own = self.board.members.lock().own_row(now_ms());
        let reply = self
            .links
            .call(address, &PeerRequest::Member(MemberRequest::Join(own)), JOIN_TIMEOUT)
            .await;
        let Ok(PeerReply::Members(rows)) = reply else {
            return false;
        };
        self.merge_rows(&rows);
        tokio::spawn(self.clone().catch_up(address));
        true
    }

    /// Compares tables with others until they bring little that is new.
    ///
    /// When a fleet starts, those that were asked knew of those that came before only, and each
    /// moment in which instances name different homes to callers spoils requests. Not with the one
    /// that was asked: it is the same for the whole fleet.
    async fn catch_up(self, contact: SocketAddr) {
        for _ in 0..CATCH_UP_ROUNDS_MAX {
            let Some(peer) = self.random_peer(contact) else {
                return;
            };
            let received = sync_members(&self.board, &self.links, peer).await;
            if received.is_some_and(|rows| rows <= CAUGHT_UP_ROWS_MAX) {
                return;
            }
            tokio::time::sleep(CATCH_UP_PAUSE).await;
        }
    }

    /// Some other instance that may answer, by chance.
    fn random_peer(&self, contact: SocketAddr) -> Option<SocketAddr> {
        let view = self.board.members_view();
        let from = rand::rng().random_range(0..view.rows.len().max(1));
        let (before, after) = view.rows.split_at(from);
        let matches = |row: &&Arc<MemberRow>| {
            row.state.may_answer()
                && row.incarnation != self.board.incarnation
                && row.peer != contact
        };
        after.iter().chain(before).find(matches).map(|row| row.peer)
    }

    fn merge_rows(&self, rows: &[MemberRow]) {
        let now_ms = now_ms();
        let mut members = self.board.members.lock();
        for row in rows {
            members.merge_synced(row, now_ms);
        }
        drop(members);
        self.board.publish_members();
    }

    /// Asks for the others, each address after a moment without an answer of the one before; tells
    /// whether one answered in time.
    async fn join_round(&self, unknown: Vec<SocketAddr>) -> bool {
        let joins = unknown.into_iter().filter_map(|address| self.start_join(address));
        for mut answer in joins.take(JOIN_REQUESTS_MAX) {
            let answered =
                tokio::time::timeout(Duration::from_millis(ALONE_INTERVAL_MS), &mut answer).await;
            if matches!(answered, Ok(Ok(true))) {
                return true;
            }
        }
        false
    }
}

/// Joins, and goes on looking: two groups that formed while parted find each other again.
pub async fn run_joiner<R: Roster, L: PeerClient>(board: Arc<Blackboard>, roster: R, links: L) {
    let interval_ms = board.settings.peers.list_interval_ms;
    let joiner = Joiner { board, links, pending_joins: Arc::default() };
    let mut round = 0;
    let mut pause_ms = ALONE_INTERVAL_MS;
    loop {
        // The whole fleet together asks the platform about as often as a small one does; it
        // takes one instance to find another group, and both become one.
        let running = joiner.board.members_view().running_count() as u64;
        let rounds_per_listing = if joiner.is_alone() {
            ALONE_ROUNDS_PER_LISTING
        } else {
            running.div_ceil(INSTANCES_PER_LISTING)
        };
        let listing_due = round % rounds_per_listing == rounds_per_listing - 1;
        let unknown = joiner.unknown_addresses(&roster, listing_due).await;
        round += 1;
        let none_unknown = unknown.is_empty();
        let answered = joiner.join_round(unknown).await;
        // That others joined this one says nothing of whom they know: it may be one of several
        // that a starting fleet gathers around.
        pause_ms = match (answered || none_unknown, joiner.is_alone()) {
            (_, true) => ALONE_INTERVAL_MS,
            (true, false) => interval_ms,
            (false, false) => (pause_ms * 2).min(interval_ms),
        };
        let jitter_ms = rand::rng().random_range(0..=pause_ms / 2);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
    }
}
