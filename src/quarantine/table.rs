//! The requests under which servers ended, as this instance knows them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use log::info;
use log::warn;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::Denial;
use super::Fingerprint;
use super::Standing;
use super::Suspect;
use super::SuspectRow;
use super::Trial;
use crate::clock::now_us;

/// Requests that are kept. When an availability zone loses power, each request that ran there is
/// suspect for some minutes; the table then holds the worst and latest of them, some 30 bytes each,
/// which bounds what instances tell each other.
const SUSPECTS_MAX: usize = 64;

#[derive(Debug)]
struct Entry {
    suspect: Suspect,
    /// Sends of this instance that are under way.
    trials: u32,
}

impl Entry {
    fn denial(&self, now_us: u64) -> Option<Denial> {
        match self.suspect.standing(now_us) {
            Standing::Held { left } => Some(Denial::Quarantined { left }),
            Standing::Watched if self.trials > 0 => Some(Denial::OnTrial),
            _ => None,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    entries: HashMap<Fingerprint, Entry>,
    /// Those of which this instance has something to tell.
    news: HashSet<Fingerprint>,
    /// Those that were convicted here, to be kept in the platform's store.
    convicted: Vec<Fingerprint>,
}

impl State {
    /// Forgets what is over, and makes room for one more.
    fn make_room(&mut self, now_us: u64) {
        self.entries.retain(|_, entry| entry.trials > 0 || !entry.suspect.expired(now_us));
        while self.entries.len() >= SUSPECTS_MAX {
            let rows = self.entries.iter().map(|(key, entry)| entry.suspect.row(*key, now_us));
            let least = rows.min_by_key(|row| (row.convictions, row.level(), Reverse(row.age_ms)));
            let Some(least) = least else {
                return;
            };
            self.entries.remove(&least.fingerprint);
        }
    }

    /// The entry of a request; a new one has news of that time.
    fn entry(&mut self, fingerprint: Fingerprint, news_us: u64, now_us: u64) -> &mut Entry {
        if !self.entries.contains_key(&fingerprint) {
            self.make_room(now_us);
        }
        let new = || Entry { suspect: Suspect::new(news_us), trials: 0 };
        self.entries.entry(fingerprint).or_insert_with(new)
    }

    /// Takes in what another instance knows; tells whether the request is refused since. What is
    /// over is not taken in again, or instances would remind each other of it for ever.
    fn merge(&mut self, row: &SuspectRow, now_us: u64) -> bool {
        let held = |suspect: &Suspect| matches!(suspect.standing(now_us), Standing::Held { .. });
        let suspect = &mut self.entry(row.fingerprint, row.news_us(now_us), now_us).suspect;
        let was_held = held(suspect);
        suspect.merge(row, now_us);
        let is_held = held(suspect);
        if suspect.expired(now_us) {
            self.entries.remove(&row.fingerprint);
        }
        is_held && !was_held
    }
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    /// Entries; read without the lock, so that requests pass freely while there are none.
    known: AtomicUsize,
    changed: Notify,
    convicted: Notify,
}

/// The requests under which servers ended; clones share.
#[derive(Clone, Debug, Default)]
pub struct Quarantine(Arc<Inner>);

impl Quarantine {
    fn with<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.0.state.lock();
        let done = work(&mut state);
        self.0.known.store(state.entries.len(), Ordering::Release);
        done
    }

    fn empty(&self) -> bool {
        self.0.known.load(Ordering::Acquire) == 0
    }

    /// Why a request may not be sent now; `None` where it may.
    #[must_use]
    pub fn denial(&self, fingerprint: Fingerprint) -> Option<Denial> {
        if self.empty() {
            return None;
        }
        let state = self.0.state.lock();
        state.entries.get(&fingerprint).and_then(|entry| entry.denial(now_us()))
    }

    /// Lets a request be sent once.
    ///
    /// One that may have crashed a server is sent once at a time. Without that, all copies that
    /// came between the send and the crash would each end a server, however well each crash is told.
    ///
    /// # Errors
    /// Why it may not be sent now.
    pub fn admit(&self, fingerprint: Fingerprint) -> Result<Trial, Denial> {
        let mut trial =
            Trial { quarantine: self.clone(), fingerprint, known_level: 0, counted: false };
        if self.empty() {
            return Ok(trial);
        }
        let mut state = self.0.state.lock();
        if let Some(entry) = state.entries.get_mut(&fingerprint) {
            if let Some(denial) = entry.denial(now_us()) {
                return Err(denial);
            }
            trial.known_level = entry.suspect.level();
            trial.counted = true;
            entry.trials += 1;
        }
        Ok(trial)
    }

    pub(super) fn trial_over(&self, fingerprint: Fingerprint) {
        if let Some(entry) = self.0.state.lock().entries.get_mut(&fingerprint) {
            entry.trials = entry.trials.saturating_sub(1);
        }
    }

    pub(super) fn crashed(&self, fingerprint: Fingerprint, server: u32, known_level: u16) {
        let now_us = now_us();
        let convicted = self.with(|state| {
            let entry = state.entry(fingerprint, now_us, now_us);
            let convicted = entry.suspect.crashed(server, known_level, now_us);
            state.news.insert(fingerprint);
            if convicted {
                state.convicted.push(fingerprint);
            }
            convicted
        });
        self.0.changed.notify_one();
        if convicted {
            self.0.convicted.notify_one();
            note_quarantined(fingerprint, "here");
        }
    }

    pub(super) fn answered(&self, fingerprint: Fingerprint, known_level: u16) {
        if self.empty() {
            return;
        }
        let changed = self.with(|state| {
            let entry = state.entries.get_mut(&fingerprint)?;
            let changed = entry.suspect.answered(known_level, now_us());
            changed.then(|| state.news.insert(fingerprint))
        });
        if changed.is_some() {
            self.0.changed.notify_one();
            let content = fingerprint.to_string();
            info!(
                event = "suspect-answered", content = content.as_str(), known_level = known_level;
                "a server answered it, so the crashes before were not its doing"
            );
        }
    }

    /// Takes in what another instance knows; returns what is known otherwise here.
    #[must_use]
    pub fn merge(&self, rows: &[SuspectRow]) -> Vec<SuspectRow> {
        let now_us = now_us();
        let (held, known): (Vec<Fingerprint>, Vec<SuspectRow>) = self.with(|state| {
            let refused = rows.iter().filter(|row| state.merge(row, now_us));
            let held = refused.map(|row| row.fingerprint).collect();
            let told: HashMap<Fingerprint, u64> =
                rows.iter().map(|row| (row.fingerprint, row.hash())).collect();
            let own = state.entries.iter().map(|(key, entry)| entry.suspect.row(*key, now_us));
            (held, own.filter(|row| told.get(&row.fingerprint) != Some(&row.hash())).collect())
        });
        for fingerprint in held {
            note_quarantined(fingerprint, "told");
        }
        known
    }

    /// All that is known.
    #[must_use]
    pub fn rows(&self) -> Vec<SuspectRow> {
        if self.empty() {
            return Vec::new();
        }
        let now_us = now_us();
        self.with(|state| {
            state.entries.retain(|_, entry| entry.trials > 0 || !entry.suspect.expired(now_us));
            state.entries.iter().map(|(key, entry)| entry.suspect.row(*key, now_us)).collect()
        })
    }

    /// Equal for instances that know the same; 0 where nothing is known.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.rows().iter().fold(0, |digest, row| digest ^ row.hash())
    }

    /// What this instance found out and has not told yet, as soon as there is something.
    pub async fn news(&self) -> Vec<SuspectRow> {
        loop {
            let changed = self.0.changed.notified();
            let news = self.take_news();
            if !news.is_empty() {
                return news;
            }
            changed.await;
        }
    }

    fn take_news(&self) -> Vec<SuspectRow> {
        let now_us = now_us();
        self.with(|state| {
            let news = std::mem::take(&mut state.news);
            let known = news.into_iter().filter_map(|key| {
                state.entries.get(&key).map(|entry| entry.suspect.row(key, now_us))
            });
            known.collect()
        })
    }

    /// Requests that this instance convicted, as soon as there is one.
    pub async fn convicted(&self) -> Vec<SuspectRow> {
        loop {
            let told = self.0.convicted.notified();
            let now_us = now_us();
            let rows: Vec<SuspectRow> = self.with(|state| {
                let convicted = std::mem::take(&mut state.convicted);
                let known = convicted.into_iter().filter_map(|key| {
                    state.entries.get(&key).map(|entry| entry.suspect.row(key, now_us))
                });
                known.collect()
            });
            if !rows.is_empty() {
                return rows;
            }
            told.await;
        }
    }
}

fn note_quarantined(fingerprint: Fingerprint, learned: &str) {
    let content = fingerprint.to_string();
    warn!(
        event = "request-quarantined", content = content.as_str(), learned = learned;
        "it crashes the servers that run it; it is refused from now on"
    );
}
