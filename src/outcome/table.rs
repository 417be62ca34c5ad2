//! The record of keyed requests of one process.
//!
//! Why no key runs twice: only the process named in a key runs it (or, after a planned stop, the
//! one successor that got its rows); it runs the key only if it has no row for it; and a row goes
//! only once the key's epoch is past the window, from when on the key itself is refused.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

use super::ClosedBook;
use super::Kept;
use super::KeptRow;
use crate::clock::now_ms;
use crate::conf::OutcomeSettings;
use crate::errors::Code;

type RowKey = (String, String);

#[derive(Debug)]
enum Row {
    /// Followers wait for the result; `None` in the channel until it is there, and the channel
    /// closes without one when the request did not run.
    Running(watch::Receiver<Option<Kept>>),
    Done(Kept),
}

#[derive(Debug)]
struct Tracked {
    row: Row,
    /// Of the key; decides when the row may go.
    epoch: u64,
}

#[derive(Debug)]
struct Book {
    rows: HashMap<RowKey, Tracked>,
    /// Bytes of kept answers; at most `answers_max_bytes`.
    answers_bytes: usize,
    /// When the process whose keys these are started, by this process's clock.
    born_ms: u64,
    /// Epochs after which a key is refused.
    window_epochs: u64,
    /// Set when the rows were handed over: nothing runs here from then on.
    closed: bool,
}

/// What to do with a keyed request that arrived.
#[derive(Debug)]
pub enum Begin {
    /// Run it, and tell the guard how it ended.
    Run(RunGuard),
    /// It runs already; its result will be told, or the channel closes when it did not run.
    Follow(watch::Receiver<Option<Kept>>),
    /// It has ended.
    Replay(Kept),
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
    books: Arc<Mutex<HashMap<u64, Book>>>,
}

impl OutcomeTable {
    /// An empty table for the keys of `own`.
    #[must_use]
    pub fn new(own: u64, settings: &OutcomeSettings) -> Self {
        let book = Book::new(now_ms(), settings.window_epochs);
        let books = HashMap::from([(own, book)]);
        Self { settings: settings.clone(), books: Arc::new(Mutex::new(books)) }
    }

    /// The epoch of a process that started at `born_ms`.
    #[must_use]
    pub fn epoch_at(&self, born_ms: u64, now_ms: u64) -> u64 {
        now_ms.saturating_sub(born_ms) / self.settings.epoch_ms
    }

    /// The epoch of `incarnation`, if its keys are answered for here.
    #[must_use]
    pub fn epoch_of(&self, incarnation: u64) -> Option<u64> {
        let books = self.books.lock();
        let book = books.get(&incarnation)?;
        Some(self.epoch_at(book.born_ms, now_ms()))
    }

    /// Whether keys of `incarnation` may run here.
    #[must_use]
    pub fn owns(&self, incarnation: u64) -> bool {
        self.books.lock().get(&incarnation).is_some_and(|book| !book.closed)
    }

    /// Rows held, over all books.
    #[must_use]
    pub fn len(&self) -> usize {
        self.books.lock().values().map(|book| book.rows.len()).sum()
    }

    /// Whether no row is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Decides on a keyed request.
    #[must_use]
    pub fn begin(&self, incarnation: u64, epoch: u64, service: &str, key: &str) -> Begin {
        let mut books = self.books.lock();
        let held: usize = books.values().map(|book| book.rows.len()).sum();
        let Some(book) = books.get_mut(&incarnation) else {
            return Begin::NotOwner;
        };
        let row_key = (service.to_owned(), key.to_owned());
        if let Some(tracked) = book.rows.get(&row_key) {
            return match &tracked.row {
                Row::Running(result) => Begin::Follow(result.clone()),
                Row::Done(kept) => Begin::Replay(kept.clone()),
            };
        }
        if book.closed {
            return Begin::Closed;
        }
        let now_epoch = self.epoch_at(book.born_ms, now_ms());
        // An epoch of the future was never given out, and its row would outlive the window.
        if epoch + book.window_epochs < now_epoch || epoch > now_epoch + 1 {
            return Begin::Expired;
        }
        if held >= self.settings.rows_max {
            return Begin::Full;
        }
        let (sender, receiver) = watch::channel(None);
        book.rows.insert(row_key.clone(), Tracked { row: Row::Running(receiver), epoch });
        drop(books);
        Begin::Run(RunGuard {
            table: self.clone(),
            incarnation,
            key: row_key,
            sender,
            ended: false,
        })
    }

    fn finish(&self, incarnation: u64, key: &RowKey, kept: Option<Kept>) -> Option<Kept> {
        let mut books = self.books.lock();
        let book = books.get_mut(&incarnation)?;
        let Some(kept) = kept else {
            book.rows.remove(key);
            return None;
        };
        let kept = book.bounded(kept, self.settings.answers_max_bytes);
        if let Some(tracked) = book.rows.get_mut(key) {
            tracked.row = Row::Done(kept.clone());
        }
        Some(kept)
    }

    /// Drops rows whose keys are refused by now, and whole books without any use.
    pub fn expire(&self, own: u64) {
        let now = now_ms();
        let mut books = self.books.lock();
        for book in books.values_mut() {
            let now_epoch = self.epoch_at(book.born_ms, now);
            book.expire(now_epoch);
        }
        let window_ms = self.settings.epoch_ms * (self.settings.window_epochs + 2);
        books.retain(|incarnation, book| {
            let idle = book.rows.is_empty() && now.saturating_sub(book.born_ms) > window_ms;
            *incarnation == own || !book.closed || !idle
        });
    }

    /// Closes all books and gives them out, for a successor. To be called when no request is in
    /// flight any more.
    #[must_use]
    pub fn close(&self) -> Vec<ClosedBook> {
        let now = now_ms();
        let mut books = self.books.lock();
        let closed = books.iter_mut().map(|(incarnation, book)| {
            book.closed = true;
            ClosedBook {
                incarnation: *incarnation,
                uptime_ms: now.saturating_sub(book.born_ms),
                window_epochs: book.window_epochs,
                rows: book.rows.iter().map(|(key, tracked)| tracked.given_out(key)).collect(),
            }
        });
        closed.collect()
    }

    /// Takes rows of a stopping instance in. Its keys run here only after the `last` rows are
    /// in: before that a key without row may be one whose row is still to come.
    ///
    /// The window is one epoch shorter than it was, because `born_ms` may be later than the true
    /// start by the time the message took.
    pub fn adopt(&self, part: ClosedBook, born_ms: u64, last: bool) {
        let mut books = self.books.lock();
        let window_epochs = part.window_epochs.saturating_sub(1);
        let book = books.entry(part.incarnation).or_insert_with(|| {
            let mut book = Book::new(born_ms, window_epochs);
            book.closed = true;
            book
        });
        book.born_ms = book.born_ms.min(born_ms);
        for KeptRow { key, epoch, kept } in part.rows {
            let kept = book.bounded(kept, self.settings.answers_max_bytes);
            book.rows.insert(key, Tracked { row: Row::Done(kept), epoch });
        }
        if last {
            book.closed = false;
        }
    }
}

impl Tracked {
    fn given_out(&self, key: &RowKey) -> KeptRow {
        let kept = match &self.row {
            // Its end will not be known to the successor, which must not run it.
            Row::Running(_) => Kept::Unknown(Code::PeerLost),
            Row::Done(kept) => kept.clone(),
        };
        KeptRow { key: key.clone(), epoch: self.epoch, kept }
    }
}

impl Book {
    fn new(born_ms: u64, window_epochs: u64) -> Self {
        Self { rows: HashMap::new(), answers_bytes: 0, born_ms, window_epochs, closed: false }
    }

    /// Keeps an answer only while all kept answers stay within `max_bytes`.
    fn bounded(&mut self, kept: Kept, max_bytes: usize) -> Kept {
        let Kept::Answer(answer) = &kept else {
            return kept;
        };
        let size = answer.size_bytes();
        if self.answers_bytes + size > max_bytes {
            return Kept::AnswerNotKept;
        }
        self.answers_bytes += size;
        kept
    }

    fn expire(&mut self, now_epoch: u64) {
        let window = self.window_epochs;
        let mut freed = 0;
        self.rows.retain(|_, tracked| {
            let stays =
                tracked.epoch + window >= now_epoch || matches!(tracked.row, Row::Running(_));
            if let (false, Row::Done(Kept::Answer(answer))) = (stays, &tracked.row) {
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
    sender: watch::Sender<Option<Kept>>,
    ended: bool,
}

impl RunGuard {
    /// Records what became of the request.
    pub fn finish(mut self, kept: Kept) {
        self.end(Some(kept));
    }

    /// Removes the row: the request did not run, and a repeat may.
    pub fn not_run(mut self) {
        self.end(None);
    }

    /// Followers hear a result exactly when the request may have run: a channel that closes
    /// without one tells them that it did not.
    fn end(&mut self, kept: Option<Kept>) {
        self.ended = true;
        let stored = self.table.finish(self.incarnation, &self.key, kept.clone());
        if kept.is_some() {
            self.sender.send_replace(stored.or(kept));
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Some(Kept::Unknown(Code::AnswerLost)));
        }
    }
}
