//! The recorded outcomes of keyed requests, at the owner of the keys.
//!
//! No key runs twice, because only the process named in a key runs it (or, after a planned stop,
//! the one successor that received its rows), it runs a key only if it has no row for it, and it
//! removes a row only when the key's epoch has left the window, after which it rejects the key.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

use super::HandoverRow;
use super::OwnerSnapshot;
use super::RecordedOutcome;
use crate::clock::now_ms;
use crate::conf::OutcomeSettings;
use crate::errors::Code;

/// Service and key.
type RowKey = (String, String);

/// Whether the request of a row is still running.
#[derive(Debug)]
enum RowState {
    /// Repeats wait for the result on this channel: `None` until it is known. The channel closes
    /// without a result if the request did not run.
    Running(watch::Receiver<Option<RecordedOutcome>>),
    Done(RecordedOutcome),
}

/// The row of one key.
#[derive(Debug)]
struct TrackedRow {
    state: RowState,
    /// The epoch of the key; decides when the row may be removed.
    epoch: u64,
}

/// The rows of the keys of one incarnation.
#[derive(Debug)]
struct OwnerRecord {
    rows: HashMap<RowKey, TrackedRow>,
    /// Bytes of recorded answers; at most `answers_max_bytes`.
    answers_bytes: usize,
    /// Start of the process that owns these keys, on this process's clock.
    started_ms: u64,
    /// Epochs after which a key is rejected.
    window_epochs: u64,
    /// Keys without a row must not run here: the rows were handed over, or are still being
    /// received.
    closed: bool,
}

/// What to do with a keyed request.
#[derive(Debug)]
pub enum KeyDecision {
    /// Run it, and report its outcome to the guard.
    Run(RunGuard),
    /// It is already running: the channel delivers its result, or closes if it did not run.
    Follow(watch::Receiver<Option<RecordedOutcome>>),
    /// It has finished with this outcome.
    Replay(RecordedOutcome),
    /// The epoch of the key is outside the window, so whether it ran is not known.
    Expired,
    /// The table has no room for another row.
    Full,
    /// The rows of these keys were handed over to another process.
    Closed,
    /// This table does not hold the keys of that incarnation.
    NotOwner,
}

/// The outcomes of this process's keys and of those it adopted, by the incarnation in the keys.
#[derive(Clone, Debug)]
pub struct OutcomeTable {
    settings: OutcomeSettings,
    records: Arc<Mutex<HashMap<u64, OwnerRecord>>>,
}

impl OutcomeTable {
    /// An empty table for the keys of `own`.
    #[must_use]
    pub fn new(own: u64, settings: &OutcomeSettings) -> Self {
        let record = OwnerRecord::new(now_ms(), settings.window_epochs);
        let records = HashMap::from([(own, record)]);
        Self { settings: settings.clone(), records: Arc::new(Mutex::new(records)) }
    }

    /// The epoch at `now_ms` of a process that started at `started_ms`.
    #[must_use]
    pub fn epoch_since(&self, started_ms: u64, now_ms: u64) -> u64 {
        now_ms.saturating_sub(started_ms) / self.settings.epoch_ms
    }

    /// The current epoch of `incarnation`, if its keys are held here.
    #[must_use]
    pub fn epoch_of(&self, incarnation: u64) -> Option<u64> {
        let records = self.records.lock();
        let record = records.get(&incarnation)?;
        Some(self.epoch_since(record.started_ms, now_ms()))
    }

    /// Whether keys of `incarnation` may run here.
    #[must_use]
    pub fn owns(&self, incarnation: u64) -> bool {
        self.records.lock().get(&incarnation).is_some_and(|record| !record.closed)
    }

    /// The number of rows of all incarnations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.lock().values().map(|record| record.rows.len()).sum()
    }

    /// Whether there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Decides on a keyed request, and adds a row if it is to run.
    #[must_use]
    pub fn begin(&self, incarnation: u64, epoch: u64, service: &str, key: &str) -> KeyDecision {
        let mut records = self.records.lock();
        let row_count: usize = records.values().map(|record| record.rows.len()).sum();
        let Some(record) = records.get_mut(&incarnation) else {
            return KeyDecision::NotOwner;
        };
        let row_key = (service.to_owned(), key.to_owned());
        if let Some(tracked) = record.rows.get(&row_key) {
            return match &tracked.state {
                RowState::Running(result) => KeyDecision::Follow(result.clone()),
                RowState::Done(outcome) => KeyDecision::Replay(outcome.clone()),
            };
        }
        if record.closed {
            return KeyDecision::Closed;
        }
        let now_epoch = self.epoch_since(record.started_ms, now_ms());
        // A future epoch was never issued, and its row would outlive the window.
        if epoch + record.window_epochs < now_epoch || epoch > now_epoch + 1 {
            return KeyDecision::Expired;
        }
        if row_count >= self.settings.rows_max {
            return KeyDecision::Full;
        }
        let (sender, receiver) = watch::channel(None);
        record
            .rows
            .insert(row_key.clone(), TrackedRow { state: RowState::Running(receiver), epoch });
        drop(records);
        KeyDecision::Run(RunGuard {
            table: self.clone(),
            incarnation,
            key: row_key,
            sender,
            ended: false,
        })
    }

    /// Stores the outcome of a request, or removes its row if there is none; returns what was
    /// stored.
    fn finish(
        &self,
        incarnation: u64,
        key: &RowKey,
        outcome: Option<RecordedOutcome>,
    ) -> Option<RecordedOutcome> {
        let mut records = self.records.lock();
        let record = records.get_mut(&incarnation)?;
        let Some(outcome) = outcome else {
            record.rows.remove(key);
            return None;
        };
        let outcome = record.within_answers_limit(outcome, self.settings.answers_max_bytes);
        if let Some(tracked) = record.rows.get_mut(key) {
            tracked.state = RowState::Done(outcome.clone());
        }
        Some(outcome)
    }

    /// Removes the rows whose keys are rejected by now, and the closed records of other
    /// incarnations once they are empty and their window has passed.
    pub fn expire(&self, own: u64) {
        let now = now_ms();
        let mut records = self.records.lock();
        for record in records.values_mut() {
            let now_epoch = self.epoch_since(record.started_ms, now);
            record.expire(now_epoch);
        }
        let window_ms = self.settings.epoch_ms * (self.settings.window_epochs + 2);
        records.retain(|incarnation, record| {
            let idle = record.rows.is_empty() && now.saturating_sub(record.started_ms) > window_ms;
            *incarnation == own || !record.closed || !idle
        });
    }

    /// Closes all records and returns them for a successor. To be called when no request is in
    /// flight any more.
    #[must_use]
    pub fn close(&self) -> Vec<OwnerSnapshot> {
        let now = now_ms();
        let mut records = self.records.lock();
        let closed = records.iter_mut().map(|(incarnation, record)| {
            record.closed = true;
            OwnerSnapshot {
                incarnation: *incarnation,
                uptime_ms: now.saturating_sub(record.started_ms),
                window_epochs: record.window_epochs,
                rows: record.rows.iter().map(|(key, tracked)| tracked.to_handover(key)).collect(),
            }
        });
        closed.collect()
    }

    /// Adopts rows of a stopping instance. Its keys run here only after the `last` part: before
    /// that, the row of a key may still be missing.
    ///
    /// The window is one epoch shorter than the sender's, because `started_ms` may be later than
    /// the true start by the time that the message took.
    pub fn adopt(&self, part: OwnerSnapshot, started_ms: u64, last: bool) {
        let mut records = self.records.lock();
        let window_epochs = part.window_epochs.saturating_sub(1);
        let record = records.entry(part.incarnation).or_insert_with(|| {
            let mut record = OwnerRecord::new(started_ms, window_epochs);
            record.closed = true;
            record
        });
        record.started_ms = record.started_ms.min(started_ms);
        for HandoverRow { key, epoch, outcome } in part.rows {
            let outcome = record.within_answers_limit(outcome, self.settings.answers_max_bytes);
            record.rows.insert(key, TrackedRow { state: RowState::Done(outcome), epoch });
        }
        if last {
            record.closed = false;
        }
    }
}

impl TrackedRow {
    fn to_handover(&self, key: &RowKey) -> HandoverRow {
        let outcome = match &self.state {
            // The successor will not learn how it ends, and must not run it.
            RowState::Running(_) => RecordedOutcome::Unknown(Code::PeerLost),
            RowState::Done(outcome) => outcome.clone(),
        };
        HandoverRow { key: key.clone(), epoch: self.epoch, outcome }
    }
}

impl OwnerRecord {
    fn new(started_ms: u64, window_epochs: u64) -> Self {
        Self { rows: HashMap::new(), answers_bytes: 0, started_ms, window_epochs, closed: false }
    }

    /// The outcome to record: without its answer if that would exceed `max_bytes` for all recorded
    /// answers, which it is counted towards otherwise.
    fn within_answers_limit(
        &mut self,
        outcome: RecordedOutcome,
        max_bytes: usize,
    ) -> RecordedOutcome {
        let RecordedOutcome::Answer(answer) = &outcome else {
            return outcome;
        };
        let size = answer.size_bytes();
        if self.answers_bytes + size > max_bytes {
            return RecordedOutcome::AnswerNotKept;
        }
        self.answers_bytes += size;
        outcome
    }

    /// Removes the finished rows whose epoch has left the window.
    fn expire(&mut self, now_epoch: u64) {
        let window = self.window_epochs;
        let mut freed = 0;
        self.rows.retain(|_, tracked| {
            let retained = tracked.epoch + window >= now_epoch
                || matches!(tracked.state, RowState::Running(_));
            if let (false, RowState::Done(RecordedOutcome::Answer(answer))) =
                (retained, &tracked.state)
            {
                freed += answer.size_bytes();
            }
            retained
        });
        self.answers_bytes -= freed;
    }
}

/// The right to run one key once.
///
/// Dropped without a result (a panic, an aborted task), it records `Unknown`: the request may have
/// reached a backend server, so that running it again could run it twice.
#[derive(Debug)]
pub struct RunGuard {
    table: OutcomeTable,
    incarnation: u64,
    key: RowKey,
    sender: watch::Sender<Option<RecordedOutcome>>,
    ended: bool,
}

impl RunGuard {
    /// Records the outcome of the request.
    pub fn finish(mut self, outcome: RecordedOutcome) {
        self.end(Some(outcome));
    }

    /// Removes the row: the request did not run, so a repeat may run.
    pub fn not_run(mut self) {
        self.end(None);
    }

    /// Ends the run. Waiting repeats get a result exactly if the request may have run; a channel
    /// that closes without one means that it did not run.
    fn end(&mut self, outcome: Option<RecordedOutcome>) {
        self.ended = true;
        let stored = self.table.finish(self.incarnation, &self.key, outcome.clone());
        if outcome.is_some() {
            self.sender.send_replace(stored.or(outcome));
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Some(RecordedOutcome::Unknown(Code::AnswerLost)));
        }
    }
}
