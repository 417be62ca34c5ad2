//! Snapshot of the members for the request path.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::member::MemberChange;
use crate::member::MemberRow;
use crate::member::MemberState;

/// Maximum number of successors followed to find the owner of an instance's keys; bounds the cost
/// of a faulty row.
const SUCCESSORS_MAX: usize = 16;

/// The members as this instance knew them at one moment.
///
/// Kept sorted as members change. Readers look up the first instances of a zone several times per
/// second; the cost does not depend on the number of other members.
#[derive(Clone, Debug, Default)]
pub struct MembersView {
    /// All members, this instance included, sorted by incarnation.
    pub rows: Vec<Arc<MemberRow>>,
    /// Members of each zone that accept work, in the order of [`compare_rank`]; a zone without any
    /// is absent.
    by_zone: BTreeMap<String, Vec<Arc<MemberRow>>>,
    /// Number of members that may answer, leaving ones included.
    running_count: usize,
}

/// Order in which instances are chosen for tasks that only a few perform: those not suspected
/// first, then by descending capacity, then by name; the same in every instance's view.
#[must_use]
pub fn compare_rank(a: &MemberRow, b: &MemberRow) -> Ordering {
    let suspect = |row: &MemberRow| row.state == MemberState::Suspect;
    let by_state = suspect(a).cmp(&suspect(b));
    let by_size = b.capacity_per_s.cmp(&a.capacity_per_s);
    let by_name = || (&a.name, a.incarnation).cmp(&(&b.name, b.incarnation));
    by_state.then(by_size).then_with(by_name)
}

impl MembersView {
    /// Creates a view of these rows.
    #[must_use]
    pub fn from_rows(rows: &[Arc<MemberRow>]) -> Self {
        let mut view = Self::default();
        for row in rows {
            view.insert(Arc::clone(row));
        }
        view
    }

    /// Applies a change of the member table.
    pub fn apply(&mut self, change: MemberChange) {
        match change {
            MemberChange::Updated(row) => self.insert(Arc::new(row)),
            MemberChange::Removed(incarnation) => self.remove(incarnation),
        }
    }

    /// The index of a member's row, or where it would be inserted.
    fn position(&self, incarnation: u64) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&incarnation, |row| row.incarnation)
    }

    /// Adds a row, in place of the member's previous one.
    fn insert(&mut self, row: Arc<MemberRow>) {
        self.remove(row.incarnation);
        self.running_count += usize::from(row.state.may_answer());
        if row.state.accepts_work() {
            let ranked = self.by_zone.entry(row.zone.clone()).or_default();
            let at = ranked.binary_search_by(|other| compare_rank(other, &row));
            ranked.insert(at.unwrap_or_else(|at| at), Arc::clone(&row));
        }
        let at = self.position(row.incarnation).unwrap_or_else(|at| at);
        self.rows.insert(at, row);
    }

    /// Removes a member's row.
    fn remove(&mut self, incarnation: u64) {
        let Ok(at) = self.position(incarnation) else {
            return;
        };
        let row = self.rows.remove(at);
        self.running_count -= usize::from(row.state.may_answer());
        let Some(ranked) = self.by_zone.get_mut(&row.zone) else {
            return;
        };
        if let Ok(at) = ranked.binary_search_by(|other| compare_rank(other, &row)) {
            ranked.remove(at);
        }
        if ranked.is_empty() {
            self.by_zone.remove(&row.zone);
        }
    }

    /// The row of a member.
    #[must_use]
    pub fn row(&self, incarnation: u64) -> Option<&Arc<MemberRow>> {
        self.position(incarnation).ok().map(|at| &self.rows[at])
    }

    /// The first members that may answer from a place on the ring of incarnations on.
    pub fn ring_from(&self, place: u64) -> impl Iterator<Item = &Arc<MemberRow>> {
        let at = self.position(place).unwrap_or_else(|at| at);
        let (before, after) = self.rows.split_at(at);
        after.iter().chain(before).filter(|row| row.state.may_answer())
    }

    /// The zones that have members which accept work.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.by_zone.keys().map(String::as_str)
    }

    /// The members of a zone that accept work, in the order of [`compare_rank`].
    #[must_use]
    pub fn ranked(&self, zone: &str) -> &[Arc<MemberRow>] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Up to `most` members of other zones that accept work and qualify, in the order of
    /// [`compare_rank`].
    #[must_use]
    pub fn ranked_in_other_zones(
        &self,
        zone: &str,
        most: usize,
        qualifies: impl Fn(&MemberRow) -> bool,
    ) -> Vec<&Arc<MemberRow>> {
        let others = self.by_zone.iter().filter(|(other, _)| *other != zone);
        let first =
            others.flat_map(|(_, ranked)| ranked.iter().filter(|row| qualifies(row)).take(most));
        let mut first: Vec<&Arc<MemberRow>> = first.collect();
        first.sort_by(|a, b| compare_rank(a, b));
        first.truncate(most);
        first
    }

    /// The owner of the idempotency keys of `incarnation`: itself or, once it has left, its
    /// successor. A successor that left as well handed on the keys that it had taken over, so the
    /// chain is followed.
    #[must_use]
    pub fn owner_for(&self, incarnation: u64) -> Option<Arc<MemberRow>> {
        let mut row = self.row(incarnation)?;
        for _ in 0..SUCCESSORS_MAX {
            let successor = row.successor.filter(|_| row.state == MemberState::Left);
            match successor.and_then(|successor| self.row(successor)) {
                Some(next) => row = next,
                None => break,
            }
        }
        Some(Arc::clone(row))
    }

    /// Number of members that may answer, leaving ones included.
    #[must_use]
    pub const fn running_count(&self) -> usize {
        self.running_count
    }
}
