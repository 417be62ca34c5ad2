//! What is recorded of a finished request.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::errors::Code;

/// A complete answer, recorded for repeats byte for byte.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Bytes,
}

impl RecordedAnswer {
    /// Approximate memory use, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// The outcome of a keyed request that may have run; none is recorded for one that did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedOutcome {
    /// The request ran and got this answer.
    Answer(Arc<RecordedAnswer>),
    /// The request ran; its answer is not recorded because it was too large, of unknown length, or
    /// beyond the limit for all recorded answers.
    AnswerNotKept,
    /// The request may have run, and will not run again.
    Unknown(Code),
}

/// One row of the outcome table, as handed over to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRow {
    /// Service and key.
    pub key: (String, String),
    /// The epoch of the key.
    pub epoch: u64,
    pub outcome: RecordedOutcome,
}

/// Largest answer that is handed over, in bytes.
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

/// The outcomes of one process's keys, or a part of them, as handed over to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerSnapshot {
    /// The process whose keys these are.
    pub incarnation: u64,
    /// Time since the start of that process when this was sent, in milliseconds.
    pub uptime_ms: u64,
    /// Epochs after which the sender rejects a key.
    pub window_epochs: u64,
    pub rows: Vec<HandoverRow>,
}
