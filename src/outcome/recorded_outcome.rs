//! What is kept of a finished request.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::errors::Code;

/// An answer kept for repeats, byte for byte.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Bytes,
}

impl RecordedAnswer {
    /// Approximate memory that it takes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// What became of a keyed request that may have run; one that did not run leaves no row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedOutcome {
    Answer(Arc<RecordedAnswer>),
    /// It ran; its answer was too large to keep.
    AnswerNotKept,
    /// It may have run, and will not run again.
    Unknown(Code),
}

/// One finished row, as it is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRow {
    /// Service and key.
    pub key: (String, String),
    pub epoch: u64,
    pub outcome: RecordedOutcome,
}

/// Largest answer that is handed over.
const HANDOVER_ANSWER_MAX_BYTES: usize = 512 << 10;

impl HandoverRow {
    /// The row, without its answer if that is too large to be handed over.
    #[must_use]
    pub fn without_oversized_answer(&self) -> Self {
        let mut row = self.clone();
        if let RecordedOutcome::Answer(answer) = &row.outcome
            && answer.size_bytes() > HANDOVER_ANSWER_MAX_BYTES
        {
            row.outcome = RecordedOutcome::AnswerNotKept;
        }
        row
    }
}

/// The record of one process's keys, or a part of it, on its way to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerSnapshot {
    /// Whose keys these are.
    pub incarnation: u64,
    /// Age of that process when this was sent.
    pub uptime_ms: u64,
    /// Epochs after which the sender refused a key.
    pub window_epochs: u64,
    pub rows: Vec<HandoverRow>,
}
