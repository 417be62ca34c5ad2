//! A snapshot of the members for the request path.

use std::sync::Arc;

use crate::member::MemberRow;
use crate::member::MemberState;

/// The members as this instance believed them to be at one moment.
#[derive(Clone, Debug, Default)]
pub struct MembersView {
    /// Sorted by incarnation, this instance included.
    pub rows: Vec<Arc<MemberRow>>,
}

impl MembersView {
    /// Who answers for the keys of `incarnation`: itself while it may answer, then its successor.
    #[must_use]
    pub fn answering_for(&self, incarnation: u64) -> Option<Arc<MemberRow>> {
        let row = self.rows.iter().find(|row| row.incarnation == incarnation)?;
        let successor = row.successor.filter(|_| row.state == MemberState::Left);
        match successor {
            // One step only: a successor that left as well took the rows with it, or handed on
            // its own rows alone.
            Some(next) => self.rows.iter().find(|row| row.incarnation == next).cloned(),
            None => Some(Arc::clone(row)),
        }
    }

    /// Members that run, leaving ones included.
    #[must_use]
    pub fn serving(&self) -> usize {
        self.rows.iter().filter(|row| row.state.may_answer()).count()
    }
}
