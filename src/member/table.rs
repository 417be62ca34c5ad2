//! The members as one instance believes them to be; no I/O.

use std::collections::BTreeMap;
use std::ops::Bound;

use smallvec::SmallVec;

use super::MemberRow;
use super::MemberState;

/// How long a member that is gone stays in the table, so that late news cannot revive it.
const GONE_KEPT_MS: u64 = 600_000;
/// A rumour is told this many times per doubling of the members.
const TELLS_PER_DOUBLING: u32 = 3;
/// Most members known at once; more are refused, so that a faulty peer cannot fill the memory.
const MEMBERS_MAX: usize = 5_000;

#[derive(Clone, Debug)]
struct Known {
    row: MemberRow,
    /// When the member started by our clock, or later: the earliest that any row implied.
    born_ms: u64,
    /// When the state became what it is.
    since_ms: u64,
    /// How often the row is still to be told.
    tells: u32,
}

/// The membership of one instance, its own row included.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: u64,
    known: BTreeMap<u64, Known>,
    /// Pings so far.
    turn: usize,
}

/// The row with its age of now.
fn aged(known: &Known, now_ms: u64) -> MemberRow {
    MemberRow { uptime_ms: now_ms.saturating_sub(known.born_ms), ..known.row.clone() }
}

impl MemberTable {
    /// A table that knows only the own row.
    #[must_use]
    pub fn new(own: MemberRow, now_ms: u64) -> Self {
        let incarnation = own.incarnation;
        let known = Known { row: own, born_ms: now_ms, since_ms: now_ms, tells: 0 };
        Self { own: incarnation, known: BTreeMap::from([(incarnation, known)]), turn: 0 }
    }

    /// The own row with its age of now.
    #[must_use]
    pub fn own_row(&self, now_ms: u64) -> MemberRow {
        aged(&self.known[&self.own], now_ms)
    }

    /// All rows, oldest news included, with their ages of now.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<MemberRow> {
        self.known.values().map(|known| aged(known, now_ms)).collect()
    }

    /// The row of one member with its age of now.
    #[must_use]
    pub fn row(&self, incarnation: u64, now_ms: u64) -> Option<MemberRow> {
        self.known.get(&incarnation).map(|known| aged(known, now_ms))
    }

    /// When the member started by our clock, or later.
    #[must_use]
    pub fn born_ms(&self, incarnation: u64) -> Option<u64> {
        self.known.get(&incarnation).map(|known| known.born_ms)
    }

    fn tells(&self) -> u32 {
        let members = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        TELLS_PER_DOUBLING * (members.ilog2() + 1)
    }

    /// Takes a row in; tells whether it changed what is believed.
    pub fn merge(&mut self, row: &MemberRow, now_ms: u64) -> bool {
        if row.incarnation == self.own {
            return self.refute(row, now_ms);
        }
        let born_ms = now_ms.saturating_sub(row.uptime_ms);
        let tells = self.tells();
        if let Some(known) = self.known.get_mut(&row.incarnation) {
            known.born_ms = known.born_ms.min(born_ms);
            if !row.overrides(&known.row) {
                return false;
            }
            *known = Known { row: row.clone(), born_ms: known.born_ms, since_ms: now_ms, tells };
            return true;
        }
        if self.known.len() >= MEMBERS_MAX {
            return false;
        }
        self.supersede_predecessor(row, now_ms);
        let known = Known { row: row.clone(), born_ms, since_ms: now_ms, tells };
        self.known.insert(row.incarnation, known);
        true
    }

    /// A process that was paused, or cut off, hears that it is believed gone: it is not, and a
    /// row of a higher generation says so to everyone.
    fn refute(&mut self, row: &MemberRow, now_ms: u64) -> bool {
        let tells = self.tells();
        let Some(own) = self.known.get_mut(&self.own) else {
            return false;
        };
        if row.generation < own.row.generation || row.state == own.row.state {
            return false;
        }
        own.row.generation = row.generation + 1;
        own.since_ms = now_ms;
        own.tells = tells;
        true
    }

    /// A new process on a peer address means that the one before it is gone.
    fn supersede_predecessor(&mut self, row: &MemberRow, now_ms: u64) {
        if !row.state.may_answer() {
            return;
        }
        for known in self.known.values_mut() {
            let older = now_ms.saturating_sub(row.uptime_ms) > known.born_ms;
            if known.row.peer == row.peer && known.row.state.may_answer() && older {
                known.row.state = MemberState::Dead;
                known.since_ms = now_ms;
            }
        }
    }

    /// Changes the own state; told to everyone.
    pub fn set_own(&mut self, state: MemberState, successor: Option<u64>, now_ms: u64) {
        let tells = self.tells();
        if let Some(own) = self.known.get_mut(&self.own) {
            own.row.state = state;
            own.row.successor = successor;
            own.row.generation += 1;
            own.since_ms = now_ms;
            own.tells = tells;
        }
    }

    /// Marks a member that did not answer; tells whether that is news.
    pub fn suspect(&mut self, incarnation: u64, now_ms: u64) -> bool {
        self.degrade(incarnation, MemberState::Suspect, now_ms)
    }

    fn degrade(&mut self, incarnation: u64, state: MemberState, now_ms: u64) -> bool {
        let tells = self.tells();
        let Some(known) = self.known.get_mut(&incarnation) else {
            return false;
        };
        // A leaving member that falls silent has stopped: as a suspect it would take work again.
        let leaves = known.row.state == MemberState::Leaving;
        let state = if leaves { MemberState::Dead } else { state };
        if known.row.state >= state {
            return false;
        }
        known.row.state = state;
        known.since_ms = now_ms;
        known.tells = tells;
        true
    }

    /// Declares suspects dead whose time is over, forgets who is long gone; tells whether the
    /// state of any member changed.
    pub fn expire(&mut self, suspect_timeout_ms: u64, now_ms: u64) -> bool {
        let overdue = |known: &&Known| {
            known.row.state == MemberState::Suspect
                && now_ms.saturating_sub(known.since_ms) >= suspect_timeout_ms
        };
        let dead: Vec<u64> =
            self.known.values().filter(overdue).map(|known| known.row.incarnation).collect();
        for incarnation in &dead {
            self.degrade(*incarnation, MemberState::Dead, now_ms);
        }
        let own = self.own;
        self.known.retain(|incarnation, known| {
            let gone_ms = now_ms.saturating_sub(known.since_ms);
            *incarnation == own || known.row.state.may_answer() || gone_ms < GONE_KEPT_MS
        });
        !dead.is_empty()
    }

    /// Up to `most` rows that are still news, the least told first.
    pub fn rumours(&mut self, most: usize, now_ms: u64) -> Vec<MemberRow> {
        let news = self.known.values().filter(|known| known.tells > 0);
        let mut picked: Vec<(u32, u64)> =
            news.map(|known| (known.tells, known.row.incarnation)).collect();
        picked.sort_unstable_by(|a, b| b.cmp(a));
        picked.truncate(most);
        let mut rows = Vec::with_capacity(picked.len());
        for (_, incarnation) in picked {
            if let Some(known) = self.known.get_mut(&incarnation) {
                known.tells -= 1;
                let age_ms = now_ms.saturating_sub(known.born_ms);
                rows.push(MemberRow { uptime_ms: age_ms, ..known.row.clone() });
            }
        }
        rows
    }

    /// The members that this one pings: on the ring of all by their numbers, those one, two, four,
    /// eight and so on places after the own.
    ///
    /// Each member is pinged by as many others as before, and news takes as few steps as members
    /// double, but an instance has connections to a few others only: with pings to everyone in turn
    /// each held one from and to each, some 30 KB apiece, 8 MB on 127 instances.
    fn pinged(&self) -> SmallVec<[&MemberRow; 16]> {
        let after = self.known.range((Bound::Excluded(self.own), Bound::Unbounded));
        let ring = after.chain(self.known.range(..self.own)).map(|(_, known)| &known.row);
        let ring = ring.filter(|row| row.state.may_answer()).enumerate();
        ring.filter(|(place, _)| (place + 1).is_power_of_two()).map(|(_, row)| row).collect()
    }

    /// The member to ping next.
    pub fn next_target(&mut self) -> Option<MemberRow> {
        self.turn = self.turn.wrapping_add(1);
        let pinged = self.pinged();
        let at = self.turn.checked_rem(pinged.len())?;
        Some(pinged[at].clone())
    }

    /// Up to `most` other members that may ping `target` for us, of those that we are connected to.
    #[must_use]
    pub fn helpers(&self, target: u64, most: usize) -> Vec<MemberRow> {
        let helps = |row: &&MemberRow| row.incarnation != target && row.state == MemberState::Alive;
        self.pinged().into_iter().filter(helps).take(most).cloned().collect()
    }
}
