//! The record of keyed requests of one process.
//!
//! Why no key runs twice: only the process named in a key runs it (or, after a planned stop, the
//! one successor that got its rows); it runs the key only if it has no row for it; and a row goes
//! only once the key's epoch is past the window, from when on the key itself is refused.

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

type RowKey = (String, String);

#[derive(Debug)]
enum RowState {
    /// Followers wait for the result; `None` in the channel until it is there, and the channel
    /// closes without one when the request did not run.
    Running(watch::Receiver<Option<RecordedOutcome>>),
    Done(RecordedOutcome),
}

#[derive(Debug)]
struct TrackedRow {
    state: RowState,
    /// Of the key; decides when the row may go.
    epoch: u64,
}

#[derive(Debug)]
struct OwnerRecord {
    rows: HashMap<RowKey, TrackedRow>,
    /// Bytes of kept answers; at most `answers_max_bytes`.
    answers_bytes: usize,
    /// When the process whose keys these are started, by this process's clock.
    started_ms: u64,
    /// Epochs after which a key is refused.
    window_epochs: u64,
    /// Set when the rows were handed over: nothing runs here from then on.
    closed: bool,
}

/// What to do with a keyed request that arrived.
#[derive(Debug)]
pub enum KeyDecision {
    /// Run it, and tell the guard how it ended.
    Run(RunGuard),
    /// It runs already; its result will be told, or the channel closes when it did not run.
    Follow(watch::Receiver<Option<RecordedOutcome>>),
    /// It has ended.
    Replay(RecordedOutcome),
    /// The key is too old to tell.
    Expired,
    /// No room for another row.
    Full,
    /// Another process answers for these keys by now.
    Closed,
    /// Keys of this incarnation are not answered for here.
    NotOwner,
}

/// The records of this process's keys and of those it took over, by incarnation.
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

    /// The epoch of a process that started at `born_ms`.
    #[must_use]
    pub fn epoch_since(&self, started_ms: u64, now_ms: u64) -> u64 {
        now_ms.saturating_sub(started_ms) / self.settings.epoch_ms
    }

    /// The epoch of `incarnation`, if its keys are answered for here.
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

    /// Rows held, over all records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.lock().values().map(|record| record.rows.len()).sum()
    }

    /// Whether no row is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Decides on a keyed request.
    #[must_use]
    pub fn begin(&self, incarnation: u64, epoch: u64, service: &str, key: &str) -> KeyDecision {
        let mut records = self.records.lock();
        let held: usize = records.values().map(|record| record.rows.len()).sum();
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
        // An epoch of the future was never given out, and its row would outlive the window.
        if epoch + record.window_epochs < now_epoch || epoch > now_epoch + 1 {
            return KeyDecision::Expired;
        }
        if held >= self.settings.rows_max {
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

    /// Drops rows whose keys are refused by now, and whole records without any use.
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

    /// Closes all records and gives them out, for a successor. To be called when no request is in
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

    /// Takes rows of a stopping instance in. Its keys run here only after the `last` rows are
    /// in: before that a key without row may be one whose row is still to come.
    ///
    /// The window is one epoch shorter than it was, because `born_ms` may be later than the true
    /// start by the time the message took.
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
            // Its end will not be known to the successor, which must not run it.
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

    /// Keeps an answer only while all kept answers stay within `max_bytes`.
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

    fn expire(&mut self, now_epoch: u64) {
        let window = self.window_epochs;
        let mut freed = 0;
        self.rows.retain(|_, tracked| {
            let stays = tracked.epoch + window >= now_epoch
                || matches!(tracked.state, RowState::Running(_));
            if let (false, RowState::Done(RecordedOutcome::Answer(answer))) =
                (stays, &tracked.state)
            {
                freed += answer.size_bytes();
            }
            stays
        });
        self.answers_bytes -= freed;
    }
}

/// The right to run one key once.
///
/// Dropped without a result (a panic, a task that was ended) it records `Unknown`: the request
/// may have been handed over, so that running it again could run it twice.
#[derive(Debug)]
pub struct RunGuard {
    table: OutcomeTable,
    incarnation: u64,
    key: RowKey,
    sender: watch::Sender<Option<RecordedOutcome>>,
    ended: bool,
}

impl RunGuard {
    /// Records what became of the request.
    pub fn finish(mut self, outcome: RecordedOutcome) {
        self.end(Some(outcome));
    }

    /// Removes the row: the request did not run, and a repeat may.
    pub fn not_run(mut self) {
        self.end(None);
    }

    /// Followers hear a result exactly when the request may have run: a channel that closes
    /// without one tells them that it did not.
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
