//! A snapshot of the members for the request path.

use std::sync::Arc;

use crate::member::MemberRow;
use crate::member::MemberState;

/// Steps from an instance to who answers for it now; bounds what a faulty row can cost.
const SUCCESSORS_MAX: usize = 16;

/// The members as this instance believed them to be at one moment.
#[derive(Clone, Debug, Default)]
pub struct MembersView {
    /// Sorted by incarnation, this instance included.
    pub rows: Vec<Arc<MemberRow>>,
}

impl MembersView {
    /// Who answers for the keys of `incarnation`: itself while it may answer, then its successor,
    /// and so on: a successor that left handed on what it had taken over.
    #[must_use]
    pub fn answering_for(&self, incarnation: u64) -> Option<Arc<MemberRow>> {
        let find = |wanted| self.rows.iter().find(|row| row.incarnation == wanted);
        let mut row = find(incarnation)?;
        for _ in 0..SUCCESSORS_MAX {
            let successor = row.successor.filter(|_| row.state == MemberState::Left);
            match successor.and_then(find) {
                Some(next) => row = next,
                None => break,
            }
        }
        Some(Arc::clone(row))
    }

    /// Members that run, leaving ones included.
    #[must_use]
    pub fn serving(&self) -> usize {
        self.rows.iter().filter(|row| row.state.may_answer()).count()
    }
}
