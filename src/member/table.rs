//! The member table of one instance; no I/O.

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
use super::suspicions::MembersBySince;
use super::suspicions::Suspicions;
use super::suspicions::older_than;

/// How long a dead or left member stays in the table, so that a late message cannot bring it back.
const TOMBSTONE_TTL_MS: u64 = 600_000;
/// Each changed row is gossiped this many times per doubling of the member count. An instance that
/// misses it is found to differ by a peer's digest and gets it by anti-entropy.
const GOSSIP_SENDS_PER_DOUBLING: u32 = 1;
/// Maximum size of the table; further members are rejected, so that a faulty peer cannot exhaust
/// memory.
const MEMBERS_MAX: usize = 5_000;

/// A member's row and when it changed.
#[derive(Clone, Debug)]
struct MemberEntry {
    row: MemberRow,
    /// Upper bound of the member's start time by the local clock: the earliest that any row
    /// implied.
    started_ms: u64,
    /// When the member entered its current state.
    state_since_ms: u64,
}

impl MemberEntry {
    /// An entry whose member enters the state of `row` now.
    const fn new(row: MemberRow, started_ms: u64, now_ms: u64) -> Self {
        Self { row, started_ms, state_since_ms: now_ms }
    }

    /// The row with its current uptime.
    fn row_at(&self, now_ms: u64) -> MemberRow {
        MemberRow { uptime_ms: now_ms.saturating_sub(self.started_ms), ..self.row.clone() }
    }
}

/// How a row reached this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// By gossip: the row is new to most others and is gossiped on.
    Gossip,
    /// By anti-entropy: others get the row the same way, so it is not gossiped on.
    Sync,
}

/// A change of one member since changes were last taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// The member's row, with its current uptime.
    Updated(MemberRow),
    /// The incarnation of a member removed from the table, [`TOMBSTONE_TTL_MS`] after it died or
    /// left.
    Removed(u64),
}

/// All members that one instance knows, itself included.
///
/// Operations on one member are logarithmic in the table size, apart from memory moves in the ring;
/// only anti-entropy scans the table.
#[derive(Clone, Debug)]
pub struct MemberTable {
    /// Incarnation of this instance.
    own_incarnation: u64,
    /// All members, by incarnation.
    entries: BTreeMap<u64, MemberEntry>,
    /// Members that may answer at each peer address: one, except for a moment after a restart.
    by_peer_address: HashMap<SocketAddr, SmallVec<[u64; 1]>>,
    /// Members that may answer, from which ping targets are chosen.
    ring: Ring,
    /// Digest of all rows, kept up to date with each change.
    digest: MembersDigest,
    /// Members whose rows are still to be gossiped.
    gossip_queue: GossipQueue,
    suspicions: Suspicions,
    /// Dead and left members.
    tombstones: MembersBySince,
    /// Members that changed since changes were last taken.
    changed: BTreeSet<u64>,
    /// Pings sent so far.
    ping_count: usize,
}

impl MemberTable {
    /// A table that holds only this instance's own row.
    #[must_use]
    pub fn new(own: MemberRow, now_ms: u64) -> Self {
        let mut table = Self {
            own_incarnation: own.incarnation,
            entries: BTreeMap::new(),
            by_peer_address: HashMap::new(),
            ring: Ring::default(),
            digest: MembersDigest::default(),
            gossip_queue: GossipQueue::default(),
            suspicions: Suspicions::default(),
            tombstones: MembersBySince::new(),
            changed: BTreeSet::new(),
            ping_count: 0,
        };
        table.insert(MemberEntry::new(own, now_ms, now_ms), 0);
        table
    }

    /// Stores an entry in place of the member's previous one and queues it to be gossiped `sends`
    /// times.
    fn insert(&mut self, entry: MemberEntry, sends: u32) {
        let incarnation = entry.row.incarnation;
        self.remove(incarnation);
        if entry.row.state.may_answer() {
            self.by_peer_address.entry(entry.row.peer_address).or_default().push(incarnation);
            self.ring.set_present(incarnation, true);
        }
        self.gossip_queue.set(incarnation, sends);
        if entry.row.state == MemberState::Suspect {
            self.suspicions.insert(entry.state_since_ms, incarnation);
        }
        if !entry.row.state.may_answer() {
            self.tombstones.insert((entry.state_since_ms, incarnation));
        }
        self.digest.add(&entry.row);
        self.changed.insert(incarnation);
        self.entries.insert(incarnation, entry);
    }

    /// Removes a member from the table and from all indexes.
    fn remove(&mut self, incarnation: u64) -> Option<MemberEntry> {
        let entry = self.entries.remove(&incarnation)?;
        self.digest.remove(&entry.row);
        self.ring.set_present(incarnation, false);
        self.gossip_queue.set(incarnation, 0);
        self.suspicions.remove(entry.state_since_ms, incarnation);
        self.tombstones.remove(&(entry.state_since_ms, incarnation));
        if let Some(at_address) = self.by_peer_address.get_mut(&entry.row.peer_address) {
            at_address.retain(|other| *other != incarnation);
            if at_address.is_empty() {
                self.by_peer_address.remove(&entry.row.peer_address);
            }
        }
        Some(entry)
    }

    /// This instance's own row with its current uptime.
    #[must_use]
    pub fn own_row(&self, now_ms: u64) -> MemberRow {
        self.entries[&self.own_incarnation].row_at(now_ms)
    }

    /// All rows, dead and left members included, with their current uptimes.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<MemberRow> {
        self.entries.values().map(|entry| entry.row_at(now_ms)).collect()
    }

    /// The rows in some buckets of the digest, with their current uptimes.
    #[must_use]
    pub fn rows_in_buckets(&self, buckets: &[usize], now_ms: u64) -> Vec<MemberRow> {
        let selected =
            self.entries.iter().filter(|(member, _)| buckets.contains(&bucket_of(**member)));
        selected.map(|(_, entry)| entry.row_at(now_ms)).collect()
    }

    /// The fingerprints of the rows in some buckets of the digest.
    #[must_use]
    pub fn fingerprints_in_buckets(&self, buckets: &[usize]) -> Vec<u32> {
        let selected =
            self.entries.iter().filter(|(member, _)| buckets.contains(&bucket_of(**member)));
        selected.filter_map(|(_, entry)| fingerprint(&entry.row)).collect()
    }

    /// The rows with these fingerprints, with their current uptimes.
    #[must_use]
    pub fn rows_with_fingerprints(&self, fingerprints: &[u32], now_ms: u64) -> Vec<MemberRow> {
        let wanted: HashSet<u32> = fingerprints.iter().copied().collect();
        let selected = self.entries.values();
        let selected = selected
            .filter(|entry| fingerprint(&entry.row).is_some_and(|hash| wanted.contains(&hash)));
        selected.map(|entry| entry.row_at(now_ms)).collect()
    }

    /// The row of one member with its current uptime.
    #[must_use]
    pub fn row(&self, incarnation: u64, now_ms: u64) -> Option<MemberRow> {
        self.entries.get(&incarnation).map(|entry| entry.row_at(now_ms))
    }

    /// The digest by which tables are compared.
    #[must_use]
    pub const fn digest(&self) -> &MembersDigest {
        &self.digest
    }

    /// Upper bound of the member's start time by the local clock, in milliseconds.
    #[must_use]
    pub fn started_ms(&self, incarnation: u64) -> Option<u64> {
        self.entries.get(&incarnation).map(|entry| entry.started_ms)
    }

    /// Whether a member that may answer is known at this peer address.
    #[must_use]
    pub fn may_answer_at(&self, peer: SocketAddr) -> bool {
        self.by_peer_address.contains_key(&peer)
    }

    /// Whether a member at this peer address is alive.
    #[must_use]
    pub fn is_alive_at(&self, peer: SocketAddr, now_ms: u64) -> bool {
        self.rows_at(peer, now_ms).any(|row| row.state == MemberState::Alive)
    }

    /// The members that may answer at this peer address.
    pub fn rows_at(&self, peer: SocketAddr, now_ms: u64) -> impl Iterator<Item = MemberRow> {
        let at_address = self.by_peer_address.get(&peer).into_iter().flatten();
        at_address.filter_map(move |incarnation| self.row(*incarnation, now_ms))
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<MemberChange> {
        let changed = std::mem::take(&mut self.changed);
        let change = |incarnation| match self.entries.get(&incarnation) {
            Some(entry) => MemberChange::Updated(entry.row_at(now_ms)),
            None => MemberChange::Removed(incarnation),
        };
        changed.into_iter().map(change).collect()
    }

    /// How many times a changed row is gossiped.
    fn gossip_sends(&self) -> u32 {
        let members = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        GOSSIP_SENDS_PER_DOUBLING * (members.ilog2() + 1)
    }

    /// Merges a gossiped row and queues it to be gossiped on; returns whether the table changed.
    pub fn merge(&mut self, row: &MemberRow, now_ms: u64) -> bool {
        self.merge_row(row, Source::Gossip, now_ms)
    }

    /// Merges a row received by anti-entropy; returns whether the table changed.
    pub fn merge_synced(&mut self, row: &MemberRow, now_ms: u64) -> bool {
        self.merge_row(row, Source::Sync, now_ms)
    }

    /// Merges a row; returns whether the table changed.
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
        self.insert(MemberEntry::new(row.clone(), started_ms, now_ms), sends);
        true
    }

    /// Refutes a row that reports this instance in another state, e.g. after a pause or a
    /// partition: raises the own generation, which overrides the report on every instance.
    fn refute(&mut self, row: &MemberRow, now_ms: u64) -> bool {
        let own = &self.entries[&self.own_incarnation];
        if row.generation < own.row.generation || row.state == own.row.state {
            return false;
        }
        let generation = row.generation + 1;
        let row = MemberRow { generation, ..own.row.clone() };
        self.insert(MemberEntry::new(row, own.started_ms, now_ms), self.gossip_sends());
        true
    }

    /// Marks the previous process at a peer address dead when a newer one starts there.
    fn supersede_predecessor(&mut self, row: &MemberRow, now_ms: u64) {
        if !row.state.may_answer() {
            return;
        }
        let started_ms = now_ms.saturating_sub(row.uptime_ms);
        let at_address = self.by_peer_address.get(&row.peer_address).cloned().unwrap_or_default();
        let own = self.own_incarnation;
        for predecessor in at_address.into_iter().filter(|predecessor| *predecessor != own) {
            let Some(entry) =
                self.entries.get(&predecessor).filter(|entry| entry.started_ms < started_ms)
            else {
                continue;
            };
            let row = MemberRow { state: MemberState::Dead, ..entry.row.clone() };
            self.insert(MemberEntry::new(row, entry.started_ms, now_ms), 0);
        }
    }

    /// Changes the state of this instance and gossips it.
    pub fn set_own_state(&mut self, state: MemberState, successor: Option<u64>, now_ms: u64) {
        let own = &self.entries[&self.own_incarnation];
        let generation = own.row.generation + 1;
        let row = MemberRow { generation, state, successor, ..own.row.clone() };
        self.insert(MemberEntry::new(row, own.started_ms, now_ms), self.gossip_sends());
    }

    /// Changes whether this instance reaches backend servers, and gossips it.
    pub fn set_own_reach(&mut self, reaches_servers: bool, now_ms: u64) {
        let own = &self.entries[&self.own_incarnation];
        let generation = own.row.generation + 1;
        let row = MemberRow { generation, reaches_servers, ..own.row.clone() };
        self.insert(MemberEntry::new(row, own.started_ms, now_ms), self.gossip_sends());
    }

    /// Marks a member that this instance could not reach as a suspect; returns whether it was not
    /// so marked before.
    pub fn suspect(&mut self, incarnation: u64, now_ms: u64) -> bool {
        let newly_suspect = self.downgrade(incarnation, MemberState::Suspect, now_ms);
        self.confirm_suspicion(incarnation, now_ms) || newly_suspect
    }

    /// Records that this instance could not reach a suspect either; returns whether that is new.
    fn confirm_suspicion(&mut self, incarnation: u64, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return false;
        };
        let confirmed = self.suspicions.confirm(entry.state_since_ms, incarnation, now_ms);
        if confirmed {
            entry.state_since_ms = now_ms;
        }
        confirmed
    }

    /// Moves a member to a worse state and gossips it; returns whether the table changed.
    fn downgrade(&mut self, incarnation: u64, state: MemberState, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get(&incarnation) else {
            return false;
        };
        // A leaving member that stops answering has stopped; as a suspect it would be given work
        // again.
        let is_leaving = entry.row.state == MemberState::Leaving;
        let state = if is_leaving { MemberState::Dead } else { state };
        if entry.row.state >= state {
            return false;
        }
        let row = MemberRow { state, ..entry.row.clone() };
        self.insert(MemberEntry::new(row, entry.started_ms, now_ms), self.gossip_sends());
        true
    }

    /// Declares suspects dead whose timeout has passed and removes expired tombstones. Returns the
    /// peer addresses of those declared dead.
    pub fn expire_suspects(&mut self, suspect_timeout_ms: u64, now_ms: u64) -> Vec<SocketAddr> {
        let dead = self.suspicions.timed_out(suspect_timeout_ms, now_ms);
        for incarnation in &dead {
            self.downgrade(*incarnation, MemberState::Dead, now_ms);
        }
        for incarnation in older_than(&self.tombstones, TOMBSTONE_TTL_MS, now_ms) {
            if incarnation != self.own_incarnation {
                self.remove(incarnation);
                self.changed.insert(incarnation);
            }
        }
        dead.iter().filter_map(|member| Some(self.entries.get(member)?.row.peer_address)).collect()
    }

    /// Whether any member is a suspect.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        !self.suspicions.is_empty()
    }

    /// Extends the timeout of current suspects by `stalled_ms`, for which this instance was
    /// stalled.
    pub fn extend_suspicion(&mut self, stalled_ms: u64, now_ms: u64) {
        if stalled_ms == 0 {
            return;
        }
        for (since_ms, incarnation) in self.suspicions.delay(stalled_ms, now_ms) {
            if let Some(entry) = self.entries.get_mut(&incarnation) {
                entry.state_since_ms = since_ms;
            }
        }
    }

    /// Takes up to `most` queued rows to gossip, those sent least often first.
    pub fn take_gossip(&mut self, most: usize, now_ms: u64) -> Vec<MemberRow> {
        let next = self.gossip_queue.take(most);
        next.iter().filter_map(|member| self.row(*member, now_ms)).collect()
    }

    /// The members that this instance pings and stays connected to.
    #[must_use]
    pub fn ping_targets(&self) -> SmallVec<[&MemberRow; 16]> {
        let fingers = self.ring.fingers(self.own_incarnation);
        fingers.iter().filter_map(|member| Some(&self.entries.get(member)?.row)).collect()
    }

    /// The next member to ping, in round-robin order.
    pub fn next_ping_target(&mut self) -> Option<MemberRow> {
        self.ping_count = self.ping_count.wrapping_add(1);
        let pinged = self.ping_targets();
        let at = self.ping_count.checked_rem(pinged.len())?;
        Some(pinged[at].clone())
    }

    /// Up to `most` members to ask for an indirect ping of `target`, among those this instance
    /// pings.
    #[must_use]
    pub fn indirect_pingers(&self, target: u64, most: usize) -> Vec<MemberRow> {
        let helps = |row: &&MemberRow| row.incarnation != target && row.state == MemberState::Alive;
        self.ping_targets().into_iter().filter(helps).take(most).cloned().collect()
    }
}
