//! Discovers other instances, through seeds from the settings and the platform's list.

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

/// Timeout of one join request. A machine that is down does not even refuse the connection, and
/// must not delay the requests to others.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of join rounds while no other instance is known, and the time to wait for one address
/// before the next one is tried. After a power loss of the whole fleet, each instance hands out the
/// slots of all servers on its own until it has found another; a refused call costs next to
/// nothing.
const ALONE_INTERVAL_MS: u64 = 40;
/// While no other instance is known, the platform's list is read once per this many rounds, since
/// the platform charges for each call.
const ALONE_ROUNDS_PER_LISTING: u64 = 16;
/// Known instances per round between two reads of the platform's list: an instance that knows 200
/// others reads it every tenth round.
const INSTANCES_PER_LISTING: u64 = 20;
/// Most synchronizations after a join, with [`CATCH_UP_PAUSE`] between two: of 500 instances that
/// start within 0.3 s, all then know the same homes within a second.
const CATCH_UP_ROUNDS_MAX: u32 = 5;
/// Pause between two synchronizations after a join.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(100);
/// Catching up ends with a peer whose table differs in at most this many rows; gossip brings the
/// rest.
const CAUGHT_UP_ROWS_MAX: usize = 6;
/// Join requests started in one round.
const JOIN_REQUESTS_MAX: usize = 3;

/// Joins the fleet through one address after another.
#[derive(Clone, Debug)]
struct Joiner<L> {
    board: Arc<Blackboard>,
    links: L,
    /// Addresses whose join reply is pending. When hundreds of instances start together, all ask
    /// the same few; one that is slow to reply must not be asked again.
    pending_joins: Arc<Mutex<HashSet<SocketAddr>>>,
}

impl<L: PeerClient> Joiner<L> {
    /// Whether no other running instance is known.
    fn is_alone(&self) -> bool {
        self.board.members_view().running_count() <= 1
    }

    /// Addresses from the seeds and the platform's list at which no member is known, in random
    /// order.
    async fn unknown_addresses<R: Roster>(&self, roster: &R, listing_due: bool) -> Vec<SocketAddr> {
        let settings = &self.board.settings;
        let mut found: BTreeSet<SocketAddr> = settings.peers.seeds.iter().copied().collect();
        // The platform charges for each call, so the seeds are tried first.
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

    /// Sends a join request in a task that returns whether it was answered; `None` while an earlier
    /// request to this address is pending.
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

    /// Joins through one address; returns whether it was answered.
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

    /// Synchronizes with random peers until one differs in few rows.
    ///
    /// While a fleet starts, the instances that answer joins know only those that came before, and
    /// requests fail as long as instances advertise different homes to callers. The instance that
    /// answered the join is excluded, because it is the same one for the whole fleet.
    async fn catch_up(self, contact: SocketAddr) {
        for _ in 0..CATCH_UP_ROUNDS_MAX {
            let Some(peer) = self.random_peer(contact) else {
                return;
            };
            let differing = sync_members(&self.board, &self.links, peer).await;
            if differing.is_some_and(|rows| rows <= CAUGHT_UP_ROWS_MAX) {
                return;
            }
            tokio::time::sleep(CATCH_UP_PAUSE).await;
        }
    }

    /// A random member that may answer, other than the one that answered the join.
    fn random_peer(&self, contact: SocketAddr) -> Option<SocketAddr> {
        let view = self.board.members_view();
        let from = rand::rng().random_range(0..view.rows.len().max(1));
        let (before, after) = view.rows.split_at(from);
        let matches = |row: &&Arc<MemberRow>| {
            row.state.may_answer()
                && row.incarnation != self.board.incarnation
                && row.peer_address != contact
        };
        after.iter().chain(before).find(matches).map(|row| row.peer_address)
    }

    /// Merges received rows and publishes the table.
    fn merge_rows(&self, rows: &[MemberRow]) {
        let now_ms = now_ms();
        let mut members = self.board.members.lock();
        for row in rows {
            members.merge_synced(row, now_ms);
        }
        drop(members);
        self.board.publish_members();
    }

    /// Sends join requests to some of the addresses, the next one if the one before is not answered
    /// within [`ALONE_INTERVAL_MS`]; returns whether one was answered in time.
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

/// Joins the fleet and keeps looking for unknown instances, so that groups formed during a
/// partition merge again.
pub async fn run_joiner<R: Roster, L: PeerClient>(board: Arc<Blackboard>, roster: R, links: L) {
    let interval_ms = board.settings.peers.list_interval_ms;
    let joiner = Joiner { board, links, pending_joins: Arc::default() };
    let mut round = 0;
    let mut pause_ms = ALONE_INTERVAL_MS;
    loop {
        // The interval of reads grows with the fleet, so that a large fleet as a whole reads the
        // list about as often as a small one. One instance that finds another group is enough to
        // merge both.
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
        // Do not stop just because others have joined this instance: a starting fleet may gather
        // around several instances that do not know each other.
        pause_ms = match (answered || none_unknown, joiner.is_alone()) {
            (_, true) => ALONE_INTERVAL_MS,
            (true, false) => interval_ms,
            (false, false) => (pause_ms * 2).min(interval_ms),
        };
        let jitter_ms = rand::rng().random_range(0..=pause_ms / 2);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
    }
}
