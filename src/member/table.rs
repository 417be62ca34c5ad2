//! The members as one instance believes them to be; no I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use smallvec::SmallVec;

use super::MemberRow;
use super::MemberState;
use super::MembersDigest;
use super::digest::bucket_of;
use super::gossip_queue::GossipQueue;
use super::ring::Ring;
use super::row::fingerprint;

/// How long a member that is gone stays in the table, so that late news cannot revive it.
const TOMBSTONE_TTL_MS: u64 = 600_000;
/// A rumour is told this many times per doubling of the members. Who misses it differs from those
/// it talks to, and asks them.
const GOSSIP_SENDS_PER_DOUBLING: u32 = 1;
/// Most members known at once; more are refused, so that a faulty peer cannot fill the memory.
const MEMBERS_MAX: usize = 5_000;

#[derive(Clone, Debug)]
struct MemberEntry {
    row: MemberRow,
    /// When the member started by our clock, or later: the earliest that any row implied.
    started_ms: u64,
    /// When the state became what it is.
    state_since_ms: u64,
}

impl MemberEntry {
    /// The row with its age of now.
    fn row_at(&self, now_ms: u64) -> MemberRow {
        MemberRow { uptime_ms: now_ms.saturating_sub(self.started_ms), ..self.row.clone() }
    }
}

/// How a row came to this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// A few rows that are new to most others, who are told.
    Gossip,
    /// One of many rows, which others compare and ask for themselves.
    Sync,
}

/// What became of one member since the changes were last taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Its row, with its age of now.
    Updated(MemberRow),
    /// It is long gone, and forgotten.
    Removed(u64),
}

/// The membership of one instance, its own row included.
///
/// What is done for one member takes the same few steps however many there are; only comparing
/// tables walks over them.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own_incarnation: u64,
    entries: BTreeMap<u64, MemberEntry>,
    /// The processes that ran at each peer address and may answer: one, but for a moment.
    by_peer_address: HashMap<SocketAddr, SmallVec<[u64; 1]>>,
    ring: Ring,
    digest: MembersDigest,
    /// Members whose rows are still to be told.
    gossip_queue: GossipQueue,
    /// Suspects, with the time since when.
    suspects: BTreeSet<(u64, u64)>,
    /// Members that are gone, with the time since when.
    tombstones: BTreeSet<(u64, u64)>,
    /// Members that changed since the changes were last taken.
    changed: BTreeSet<u64>,
    /// Pings so far.
    ping_count: usize,
}

/// The members for which something lasts for `least_ms` or longer, the first since when.
fn at_least_since(since: &BTreeSet<(u64, u64)>, least_ms: u64, now_ms: u64) -> Vec<u64> {
    let old = |entry: &&(u64, u64)| now_ms.saturating_sub(entry.0) >= least_ms;
    since.iter().take_while(old).map(|(_, incarnation)| *incarnation).collect()
}

impl MemberTable {
    /// A table that knows only the own row.
    #[must_use]
    pub fn new(own: MemberRow, now_ms: u64) -> Self {
        let mut table = Self {
            own_incarnation: own.incarnation,
            entries: BTreeMap::new(),
            by_peer_address: HashMap::new(),
            ring: Ring::default(),
            digest: MembersDigest::default(),
            gossip_queue: GossipQueue::default(),
            suspects: BTreeSet::new(),
            tombstones: BTreeSet::new(),
            changed: BTreeSet::new(),
            ping_count: 0,
        };
        table.insert(MemberEntry { row: own, started_ms: now_ms, state_since_ms: now_ms }, 0);
        table
    }

    /// Puts a row in force in the place of the one known of its member, if any, to be told so often.
    fn insert(&mut self, entry: MemberEntry, sends: u32) {
        let incarnation = entry.row.incarnation;
        self.remove(incarnation);
        if entry.row.state.may_answer() {
            self.by_peer_address.entry(entry.row.peer).or_default().push(incarnation);
            self.ring.set_present(incarnation, true);
        }
        self.gossip_queue.set(incarnation, sends);
        if entry.row.state == MemberState::Suspect {
            self.suspects.insert((entry.state_since_ms, incarnation));
        }
        if !entry.row.state.may_answer() {
            self.tombstones.insert((entry.state_since_ms, incarnation));
        }
        self.digest.add(&entry.row);
        self.changed.insert(incarnation);
        self.entries.insert(incarnation, entry);
    }

    /// Takes a member out of everything that is derived from its row.
    fn remove(&mut self, incarnation: u64) -> Option<MemberEntry> {
        let entry = self.entries.remove(&incarnation)?;
        self.digest.remove(&entry.row);
        self.ring.set_present(incarnation, false);
        self.gossip_queue.set(incarnation, 0);
        self.suspects.remove(&(entry.state_since_ms, incarnation));
        self.tombstones.remove(&(entry.state_since_ms, incarnation));
        if let Some(at_address) = self.by_peer_address.get_mut(&entry.row.peer) {
            at_address.retain(|other| *other != incarnation);
            if at_address.is_empty() {
                self.by_peer_address.remove(&entry.row.peer);
            }
        }
        Some(entry)
    }

    /// The own row with its age of now.
    #[must_use]
    pub fn own_row(&self, now_ms: u64) -> MemberRow {
        self.entries[&self.own_incarnation].row_at(now_ms)
    }

    /// All rows, oldest news included, with their ages of now.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<MemberRow> {
        self.entries.values().map(|entry| entry.row_at(now_ms)).collect()
    }

    /// The rows of the members of some parts of the digest, with their ages of now.
    #[must_use]
    pub fn rows_in_buckets(&self, buckets: &[usize], now_ms: u64) -> Vec<MemberRow> {
        let selected =
            self.entries.iter().filter(|(member, _)| buckets.contains(&bucket_of(**member)));
        selected.map(|(_, entry)| entry.row_at(now_ms)).collect()
    }

    /// The fingerprints of the members of some parts of the digest.
    #[must_use]
    pub fn fingerprints_in_buckets(&self, buckets: &[usize]) -> Vec<u32> {
        let selected =
            self.entries.iter().filter(|(member, _)| buckets.contains(&bucket_of(**member)));
        selected.filter_map(|(_, entry)| fingerprint(&entry.row)).collect()
    }

    /// The rows with these fingerprints, with their ages of now.
    #[must_use]
    pub fn rows_with_fingerprints(&self, fingerprints: &[u32], now_ms: u64) -> Vec<MemberRow> {
        let wanted: HashSet<u32> = fingerprints.iter().copied().collect();
        let selected = self.entries.values();
        let selected = selected
            .filter(|entry| fingerprint(&entry.row).is_some_and(|hash| wanted.contains(&hash)));
        selected.map(|entry| entry.row_at(now_ms)).collect()
    }

    /// The row of one member with its age of now.
    #[must_use]
    pub fn row(&self, incarnation: u64, now_ms: u64) -> Option<MemberRow> {
        self.entries.get(&incarnation).map(|entry| entry.row_at(now_ms))
    }

    /// What tells whether another table believes the same.
    #[must_use]
    pub const fn digest(&self) -> &MembersDigest {
        &self.digest
    }

    /// When the member started by our clock, or later.
    #[must_use]
    pub fn started_ms(&self, incarnation: u64) -> Option<u64> {
        self.entries.get(&incarnation).map(|entry| entry.started_ms)
    }

    /// Whether any member may answer at this peer address.
    #[must_use]
    pub fn may_answer_at(&self, peer: SocketAddr) -> bool {
        self.by_peer_address.contains_key(&peer)
    }

    /// What changed since this was last called.
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<MemberChange> {
        let changed = std::mem::take(&mut self.changed);
        let change = |incarnation| match self.entries.get(&incarnation) {
            Some(entry) => MemberChange::Updated(entry.row_at(now_ms)),
            None => MemberChange::Removed(incarnation),
        };
        changed.into_iter().map(change).collect()
    }

    fn gossip_sends(&self) -> u32 {
        let members = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        GOSSIP_SENDS_PER_DOUBLING * (members.ilog2() + 1)
    }

    /// Takes news in, to be told on; tells whether it changed what is believed.
    pub fn merge(&mut self, row: &MemberRow, now_ms: u64) -> bool {
        self.merge_row(row, Source::Gossip, now_ms)
    }

    /// Takes in one of many rows that another instance was asked for; tells whether it changed what
    /// is believed.
    pub fn merge_synced(&mut self, row: &MemberRow, now_ms: u64) -> bool {
        self.merge_row(row, Source::Sync, now_ms)
    }

    fn merge_row(&mut self, row: &MemberRow, source: Source, now_ms: u64) -> bool {
        if row.incarnation == self.own_incarnation {
            return self.refute(row, now_ms);
        }
        let sends = if source == Source::Gossip { self.gossip_sends() } else { 0 };
        let implied_started_ms = now_ms.saturating_sub(row.uptime_ms);
        let full = self.entries.len() >= MEMBERS_MAX;
        let mut started_ms = implied_started_ms;
        match self.entries.get_mut(&row.incarnation) {
            Some(entry) => {
                entry.started_ms = entry.started_ms.min(implied_started_ms);
                started_ms = entry.started_ms;
                if !row.overrides(&entry.row) {
                    return false;
                }
            }
            None if full => return false,
            None => self.supersede_predecessor(row, now_ms),
        }
        self.insert(MemberEntry { row: row.clone(), started_ms, state_since_ms: now_ms }, sends);
        true
    }

    /// A process that was paused, or cut off, hears that it is believed gone: it is not, and a
    /// row of a higher generation says so to everyone.
    fn refute(&mut self, row: &MemberRow, now_ms: u64) -> bool {
        let own = &self.entries[&self.own_incarnation];
        if row.generation < own.row.generation || row.state == own.row.state {
            return false;
        }
        let generation = row.generation + 1;
        let row = MemberRow { generation, ..own.row.clone() };
        self.insert(
            MemberEntry { row, started_ms: own.started_ms, state_since_ms: now_ms },
            self.gossip_sends(),
        );
        true
    }

    /// A new process on a peer address means that the one before it is gone.
    fn supersede_predecessor(&mut self, row: &MemberRow, now_ms: u64) {
        if !row.state.may_answer() {
            return;
        }
        let started_ms = now_ms.saturating_sub(row.uptime_ms);
        let at_address = self.by_peer_address.get(&row.peer).cloned().unwrap_or_default();
        let own = self.own_incarnation;
        for predecessor in at_address.into_iter().filter(|predecessor| *predecessor != own) {
            let Some(entry) =
                self.entries.get(&predecessor).filter(|entry| entry.started_ms < started_ms)
            else {
                continue;
            };
            let row = MemberRow { state: MemberState::Dead, ..entry.row.clone() };
            self.insert(
                MemberEntry { row, started_ms: entry.started_ms, state_since_ms: now_ms },
                0,
            );
        }
    }

    /// Changes the own state; told to everyone.
    pub fn set_own_state(&mut self, state: MemberState, successor: Option<u64>, now_ms: u64) {
        let own = &self.entries[&self.own_incarnation];
        let generation = own.row.generation + 1;
        let row = MemberRow { generation, state, successor, ..own.row.clone() };
        self.insert(
            MemberEntry { row, started_ms: own.started_ms, state_since_ms: now_ms },
            self.gossip_sends(),
        );
    }

    /// Marks a member that did not answer; tells whether that is news.
    pub fn suspect(&mut self, incarnation: u64, now_ms: u64) -> bool {
        self.downgrade(incarnation, MemberState::Suspect, now_ms)
    }

    fn downgrade(&mut self, incarnation: u64, state: MemberState, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get(&incarnation) else {
            return false;
        };
        // A leaving member that falls silent has stopped: as a suspect it would take work again.
        let is_leaving = entry.row.state == MemberState::Leaving;
        let state = if is_leaving { MemberState::Dead } else { state };
        if entry.row.state >= state {
            return false;
        }
        let row = MemberRow { state, ..entry.row.clone() };
        self.insert(
            MemberEntry { row, started_ms: entry.started_ms, state_since_ms: now_ms },
            self.gossip_sends(),
        );
        true
    }

    /// Declares suspects dead whose time is over, and forgets who is long gone. Returns the peer
    /// addresses of those declared dead.
    pub fn expire_suspects(&mut self, suspect_timeout_ms: u64, now_ms: u64) -> Vec<SocketAddr> {
        let dead = at_least_since(&self.suspects, suspect_timeout_ms, now_ms);
        for incarnation in &dead {
            self.downgrade(*incarnation, MemberState::Dead, now_ms);
        }
        for incarnation in at_least_since(&self.tombstones, TOMBSTONE_TTL_MS, now_ms) {
            if incarnation != self.own_incarnation {
                self.remove(incarnation);
                self.changed.insert(incarnation);
            }
        }
        dead.iter().filter_map(|member| Some(self.entries.get(member)?.row.peer)).collect()
    }

    /// Whether any member is a suspect.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Gives the suspects of now more time: for `missed_ms` this instance could not hear them.
    pub fn extend_suspicion(&mut self, stalled_ms: u64, now_ms: u64) {
        if stalled_ms == 0 {
            return;
        }
        for (since_ms, incarnation) in std::mem::take(&mut self.suspects) {
            let since_ms = (since_ms + stalled_ms).min(now_ms);
            if let Some(entry) = self.entries.get_mut(&incarnation) {
                entry.state_since_ms = since_ms;
                self.suspects.insert((since_ms, incarnation));
            }
        }
    }

    /// Up to `most` rows that are still news, the least told first.
    pub fn take_gossip(&mut self, most: usize, now_ms: u64) -> Vec<MemberRow> {
        let next = self.gossip_queue.take(most);
        next.iter().filter_map(|member| self.row(*member, now_ms)).collect()
    }

    /// The members that this one pings, and is connected to.
    #[must_use]
    pub fn ping_targets(&self) -> SmallVec<[&MemberRow; 16]> {
        let fingers = self.ring.fingers(self.own_incarnation);
        fingers.iter().filter_map(|member| Some(&self.entries.get(member)?.row)).collect()
    }

    /// The member to ping next.
    pub fn next_ping_target(&mut self) -> Option<MemberRow> {
        self.ping_count = self.ping_count.wrapping_add(1);
        let pinged = self.ping_targets();
        let at = self.ping_count.checked_rem(pinged.len())?;
        Some(pinged[at].clone())
    }

    /// Up to `most` other members that may ping `target` for us, of those that we are connected to.
    #[must_use]
    pub fn indirect_pingers(&self, target: u64, most: usize) -> Vec<MemberRow> {
        let helps = |row: &&MemberRow| row.incarnation != target && row.state == MemberState::Alive;
        self.ping_targets().into_iter().filter(helps).take(most).cloned().collect()
    }
}
