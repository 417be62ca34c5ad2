//! Finding the other instances: seeds from the settings and the platform's list.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use tokio::task::JoinHandle;

use super::MemberRow;
use super::compare;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::peer::Links;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::store::Roster;

/// An address whose machine is away does not even refuse: others must not wait for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval while no other instance is known, and the time that one address is given before the next
/// one is asked. After a loss of power of all, each instance gives out the slots of all servers
/// without knowing of the others until it has found one; a call that is refused costs next to
/// nothing.
const ALONE_MS: u64 = 40;
/// Turns while alone between two looks into the platform's list, each of which is paid for.
const ALONE_LIST_TURNS: u64 = 16;
const SMALL_FLEET: u64 = 20;
/// Addresses asked in one turn.
const ASKED_MAX: usize = 3;

/// Joins the others by one address after the other.
#[derive(Clone, Debug)]
struct Joiner {
    board: Arc<Blackboard>,
    links: Links,
    /// Addresses that were asked and have not answered yet: of hundreds of instances that start
    /// together each asks the same few, and one that is slow to answer must not be asked again.
    asked: Arc<Mutex<HashSet<SocketAddr>>>,
}

impl Joiner {
    /// Whether no other instance is known.
    fn alone(&self) -> bool {
        self.board.members_view().serving() <= 1
    }

    /// Addresses of instances that may be there and are not known, in random order.
    async fn unknown_addresses<R: Roster>(&self, roster: &R, list_due: bool) -> Vec<SocketAddr> {
        let settings = &self.board.settings;
        let mut found: BTreeSet<SocketAddr> = settings.peers.seeds.iter().copied().collect();
        // Each call to the platform has its price; the seeds are tried first.
        if found.is_empty() || list_due {
            let listed = roster.instances().await;
            self.board.note_store(listed.as_ref().err().map(ToString::to_string));
            found.extend(listed.unwrap_or_default().iter().map(|row| row.address));
        }
        let members = self.board.members.lock();
        let unknown = found.into_iter().filter(|address| !members.answers_at(*address));
        let mut unknown: Vec<SocketAddr> = unknown.collect();
        drop(members);
        for at in (1..unknown.len()).rev() {
            unknown.swap(at, rand::rng().random_range(0..=at));
        }
        unknown
    }

    /// Asks one address; `None` where its answer is still awaited from before.
    fn ask(&self, address: SocketAddr) -> Option<JoinHandle<()>> {
        if !self.asked.lock().insert(address) {
            return None;
        }
        let joiner = self.clone();
        Some(tokio::spawn(async move {
            joiner.join_by(address).await;
            joiner.asked.lock().remove(&address);
        }))
    }

    async fn join_by(&self, address: SocketAddr) {
        let own = self.board.members.lock().own_row(now_ms());
        let reply = self.links.call(address, &PeerRequest::Join(own), CALL_TIMEOUT).await;
        let Ok(PeerReply::Members(rows)) = reply else {
            return;
        };
        self.take_in(&rows);
        let own = self.board.settings.listen.peer;
        // Not with the one that was asked: it is the same for the whole fleet.
        let others = rows.iter().map(|row| row.peer).filter(|peer| ![address, own].contains(peer));
        let others: Vec<SocketAddr> = others.collect();
        let at = rand::rng().random_range(0..others.len().max(1));
        if let Some(other) = others.get(at) {
            compare(&self.board, &self.links, *other).await;
        }
    }

    fn take_in(&self, rows: &[MemberRow]) {
        let now_ms = now_ms();
        let mut members = self.board.members.lock();
        for row in rows {
            members.merge_compared(row, now_ms);
        }
        drop(members);
        self.board.publish_members();
    }

    /// Asks for the others, each address after a moment without an answer of the one before.
    async fn turn(&self, unknown: Vec<SocketAddr>) {
        let alone = self.alone();
        let asked = unknown.into_iter().filter_map(|address| self.ask(address));
        for mut answer in asked.take(ASKED_MAX) {
            let _ = tokio::time::timeout(Duration::from_millis(ALONE_MS), &mut answer).await;
            if alone && !self.alone() {
                return;
            }
        }
    }
}

/// Joins, and goes on looking: two groups that formed while parted find each other again.
pub async fn run_joiner<R: Roster>(board: Arc<Blackboard>, roster: R, links: Links) {
    let interval_ms = board.settings.peers.list_interval_ms;
    let joiner = Joiner { board, links, asked: Arc::default() };
    let mut turn = 0;
    loop {
        // The whole fleet together asks the platform about as often as a small one does; it
        // takes one instance to find another group, and both become one.
        let known = joiner.board.members_view().serving() as u64;
        let list_turns =
            if joiner.alone() { ALONE_LIST_TURNS } else { known.div_ceil(SMALL_FLEET) };
        let list_due = turn % list_turns == list_turns - 1;
        let unknown = joiner.unknown_addresses(&roster, list_due).await;
        turn += 1;
        joiner.turn(unknown).await;
        let pause_ms = if joiner.alone() { ALONE_MS } else { interval_ms };
        let jitter_ms = rand::rng().random_range(0..=pause_ms / 2);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
    }
}
