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

use super::Crash;
use super::Denial;
use super::Fingerprint;
use super::Fingerprints;
use super::Scope;
use super::Standing;
use super::Suspect;
use super::SuspectRow;
use super::Trial;
use super::fingerprint::low_hash;
use super::trial::Known;
use crate::clock::now_us;

/// Requests that are kept. When an availability zone loses power, each request that ran there is
/// suspect for some minutes; the table then holds the worst and latest of them, some 30 bytes each,
/// which bounds what instances tell each other.
const SUSPECTS_MAX: usize = 128;

#[derive(Debug)]
struct Entry {
    suspect: Suspect,
    /// Sends of this instance that are under way.
    trials: u32,
    /// Since when this instance knows of it.
    since_us: u64,
    /// Hash of the name of its service.
    service: u32,
}

impl Entry {
    fn row(&self, fingerprint: Fingerprint, now_us: u64) -> SuspectRow {
        SuspectRow { service: self.service, ..self.suspect.row(fingerprint, now_us) }
    }

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
    /// When each service answered a request of this instance last, by its hash; only while there is
    /// a suspect.
    answered_us: HashMap<u32, u64>,
}

impl State {
    /// Forgets what is over, and makes room for one more.
    fn make_room(&mut self, now_us: u64) {
        self.expire(now_us);
        while self.entries.len() >= SUSPECTS_MAX {
            let rows = self.entries.iter().map(|(key, entry)| entry.row(*key, now_us));
            let least = rows.min_by_key(|row| (row.convictions, row.level(), Reverse(row.age_ms)));
            let Some(least) = least else {
                return;
            };
            self.entries.remove(&least.fingerprint);
        }
    }

    /// Forgets what is over.
    fn expire(&mut self, now_us: u64) {
        self.entries.retain(|_, entry| entry.trials > 0 || !entry.suspect.expired(now_us));
    }

    /// What is known of these.
    fn rows_of(&self, keys: impl IntoIterator<Item = Fingerprint>, now_us: u64) -> Vec<SuspectRow> {
        let row = |key| self.entries.get(&key).map(|entry| entry.row(key, now_us));
        keys.into_iter().filter_map(row).collect()
    }

    /// The entry of a request; a new one has news of that time.
    fn entry(&mut self, fingerprint: Fingerprint, news_us: u64, now_us: u64) -> &mut Entry {
        if !self.entries.contains_key(&fingerprint) {
            self.make_room(now_us);
        }
        let new = || Entry {
            suspect: Suspect::new(fingerprint.scope, news_us),
            trials: 0,
            since_us: now_us,
            service: 0,
        };
        self.entries.entry(fingerprint).or_insert_with(new)
    }

    fn denial(&self, fingerprints: &Fingerprints, now_us: u64) -> Option<Denial> {
        let entries = Scope::ALL.iter().map(|scope| fingerprints.in_scope(*scope));
        let known = entries.filter_map(|fingerprint| self.entries.get(&fingerprint));
        known.into_iter().find_map(|entry| entry.denial(now_us))
    }

    /// Takes note of a crash; returns the fingerprints that it convicts.
    fn crashed(&mut self, trial: &Trial, server: u32, now_us: u64) -> Vec<Fingerprint> {
        let mut convicted = Vec::new();
        for (scope, known) in Scope::ALL.into_iter().zip(trial.known) {
            let fingerprint = trial.fingerprints.in_scope(scope);
            let variant = trial.fingerprints.variant_in(scope);
            let crash = Crash { level: known.level.saturating_add(1), server, variant };
            let answered_us = self.answered_us.get(&trial.service).copied();
            let entry = self.entry(fingerprint, now_us, now_us);
            let others_served = answered_us.is_some_and(|at| at > entry.since_us);
            entry.service = trial.service;
            if entry.suspect.crashed(crash, others_served, now_us) {
                convicted.push(fingerprint);
            }
            self.news.insert(fingerprint);
        }
        self.convicted.extend(&convicted);
        convicted
    }

    /// Takes note of an answer; tells whether it changed anything.
    fn answered(&mut self, trial: &Trial, now_us: u64) -> bool {
        self.answered_us.insert(trial.service, now_us);
        for entry in self.entries.values_mut().filter(|entry| entry.service == trial.service) {
            entry.suspect.others_are_served();
        }
        let mut changed = false;
        for (scope, known) in Scope::ALL.into_iter().zip(trial.known) {
            let fingerprint = trial.fingerprints.in_scope(scope);
            let entry = self.entries.get_mut(&fingerprint);
            if entry.is_some_and(|entry| entry.suspect.answered(known.level, now_us)) {
                self.news.insert(fingerprint);
                changed = true;
            }
        }
        changed
    }

    /// Takes in what another instance knows; tells whether the request is refused since. What is
    /// over is not taken in again, or instances would remind each other of it for ever.
    fn merge(&mut self, row: &SuspectRow, now_us: u64) -> bool {
        let held = |suspect: &Suspect| matches!(suspect.standing(now_us), Standing::Held { .. });
        let answered_us = self.answered_us.get(&row.service).copied();
        let entry = self.entry(row.fingerprint, row.news_us(now_us), now_us);
        let others_served = answered_us.is_some_and(|at| at > entry.since_us);
        entry.service = row.service;
        let suspect = &mut entry.suspect;
        let was_held = held(suspect);
        let convicted = suspect.merge(row, others_served, now_us);
        let is_held = held(suspect);
        if suspect.expired(now_us) {
            self.entries.remove(&row.fingerprint);
        }
        if convicted {
            self.news.insert(row.fingerprint);
            self.convicted.push(row.fingerprint);
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
        if state.entries.is_empty() {
            state.answered_us.clear();
        }
        self.0.known.store(state.entries.len(), Ordering::Release);
        done
    }

    fn empty(&self) -> bool {
        self.0.known.load(Ordering::Acquire) == 0
    }

    /// Why a request may not be sent now; `None` where it may.
    #[must_use]
    pub fn denial(&self, fingerprints: &Fingerprints) -> Option<Denial> {
        if self.empty() {
            return None;
        }
        self.0.state.lock().denial(fingerprints, now_us())
    }

    /// Lets a request be sent once.
    ///
    /// One that may have crashed servers is sent once at a time. Without that, all copies that came
    /// between the send and the crash would each end a server, however well each crash is told.
    ///
    /// # Errors
    /// Why it may not be sent now.
    pub fn admit(&self, fingerprints: &Fingerprints, service: &str) -> Result<Trial, Denial> {
        let known = if self.empty() { Default::default() } else { self.count_trial(fingerprints)? };
        let service = low_hash(service.as_bytes());
        Ok(Trial { quarantine: self.clone(), fingerprints: *fingerprints, service, known })
    }

    fn count_trial(&self, fingerprints: &Fingerprints) -> Result<[Known; 3], Denial> {
        let mut state = self.0.state.lock();
        if let Some(denial) = state.denial(fingerprints, now_us()) {
            return Err(denial);
        }
        Ok(Scope::ALL.map(|scope| {
            let entry = state.entries.get_mut(&fingerprints.in_scope(scope));
            entry.map_or_else(Known::default, |entry| {
                entry.trials += 1;
                Known { level: entry.suspect.level(), counted: true }
            })
        }))
    }

    pub(super) fn trial_over(&self, trial: &Trial) {
        let mut state = self.0.state.lock();
        for (scope, known) in Scope::ALL.into_iter().zip(trial.known) {
            let entry = state.entries.get_mut(&trial.fingerprints.in_scope(scope));
            if let Some(entry) = entry.filter(|_| known.counted) {
                entry.trials = entry.trials.saturating_sub(1);
            }
        }
    }

    pub(super) fn crashed(&self, trial: &Trial, server: u32) {
        let convicted = self.with(|state| state.crashed(trial, server, now_us()));
        self.0.changed.notify_one();
        if !convicted.is_empty() {
            self.0.convicted.notify_one();
        }
        for fingerprint in convicted {
            note_quarantined(fingerprint, "here");
        }
    }

    pub(super) fn answered(&self, trial: &Trial) {
        if self.empty() {
            return;
        }
        let changed = self.with(|state| state.answered(trial, now_us()));
        if changed {
            self.0.changed.notify_one();
            let [exact, by_caller, content] = trial.fingerprints.names();
            info!(
                event = "suspect-answered", content = content.as_str(), exact = exact.as_str(),
                by_caller = by_caller.as_str(),
                known_level = trial.known_level();
                "a server answered it, so the crashes before were not its doing"
            );
        }
    }

    /// Takes in what another instance knows.
    pub fn merge(&self, rows: &[SuspectRow]) {
        let now_us = now_us();
        let held: Vec<Fingerprint> = self.with(|state| {
            let refused = rows.iter().filter(|row| state.merge(row, now_us));
            refused.map(|row| row.fingerprint).collect()
        });
        if !held.is_empty() {
            self.0.changed.notify_one();
            self.0.convicted.notify_one();
        }
        for fingerprint in held {
            note_quarantined(fingerprint, "told");
        }
    }

    /// Takes in what another instance knows; returns what is known otherwise here, of these or, where
    /// they are `all` that it knows, at all.
    #[must_use]
    pub fn answer(&self, rows: &[SuspectRow], all: bool) -> Vec<SuspectRow> {
        self.merge(rows);
        let told: HashMap<Fingerprint, u64> =
            rows.iter().map(|row| (row.fingerprint, row.hash())).collect();
        let differs = |row: &SuspectRow| match told.get(&row.fingerprint) {
            Some(hash) => *hash != row.hash(),
            None => all,
        };
        self.rows().into_iter().filter(differs).collect()
    }

    /// All that is known.
    #[must_use]
    pub fn rows(&self) -> Vec<SuspectRow> {
        if self.empty() {
            return Vec::new();
        }
        let now_us = now_us();
        self.with(|state| {
            state.expire(now_us);
            state.entries.iter().map(|(key, entry)| entry.row(*key, now_us)).collect()
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
            state.rows_of(news, now_us)
        })
    }

    /// Requests that this instance convicted, as soon as there is one.
    pub async fn convicted(&self) -> Vec<SuspectRow> {
        loop {
            let told = self.0.convicted.notified();
            let now_us = now_us();
            let rows: Vec<SuspectRow> = self.with(|state| {
                let convicted = std::mem::take(&mut state.convicted);
                state.rows_of(convicted, now_us)
            });
            if !rows.is_empty() {
                return rows;
            }
            told.await;
        }
    }
}

fn note_quarantined(fingerprint: Fingerprint, learned: &str) {
    let name = fingerprint.to_string();
    warn!(
        event = "request-quarantined", scope = fingerprint.scope.name(), fingerprint = name.as_str(),
        learned = learned;
        "it crashes the servers that run it; it is refused from now on"
    );
}
