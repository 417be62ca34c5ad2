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

use super::AdmittedSend;
use super::Crash;
use super::Denial;
use super::Fingerprint;
use super::FingerprintScope;
use super::Fingerprints;
use super::SendPolicy;
use super::SuspectRecord;
use super::SuspectRequest;
use super::fingerprint::short_hash;
use super::trial::KnownCrashes;
use crate::clock::now_us;

/// Requests that are kept. When an availability zone loses power, each request that ran there is
/// suspect for some minutes; the table then holds the worst and latest of them, some 30 bytes each,
/// which bounds what instances tell each other.
const SUSPECTS_MAX: usize = 128;

#[derive(Debug)]
struct Entry {
    suspect: SuspectRequest,
    /// Sends of this instance that are under way.
    sends_in_flight: u32,
    /// Since when this instance knows of it.
    known_since_us: u64,
    /// Hash of the name of its service.
    service_hash: u32,
}

impl Entry {
    fn record(&self, fingerprint: Fingerprint, now_us: u64) -> SuspectRecord {
        SuspectRecord { service: self.service_hash, ..self.suspect.record(fingerprint, now_us) }
    }

    fn denial(&self, now_us: u64) -> Option<Denial> {
        match self.suspect.send_policy(now_us) {
            SendPolicy::Blocked { remaining: left } => {
                Some(Denial::Quarantined { remaining: left })
            }
            SendPolicy::OneAtATime if self.sends_in_flight > 0 => Some(Denial::AlreadyInFlight),
            _ => None,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    entries: HashMap<Fingerprint, Entry>,
    /// Those of which this instance has something to tell.
    unsent_updates: HashSet<Fingerprint>,
    /// Those that were convicted here, to be kept in the platform's store.
    newly_quarantined: Vec<Fingerprint>,
    /// When each service answered a request of this instance last, by its hash; only while there is
    /// a suspect.
    last_response_us: HashMap<u32, u64>,
}

impl State {
    /// Forgets what is over, and makes room for one more.
    fn make_room(&mut self, now_us: u64) {
        self.expire(now_us);
        while self.entries.len() >= SUSPECTS_MAX {
            let records = self.entries.iter().map(|(key, entry)| entry.record(*key, now_us));
            let least =
                records.min_by_key(|row| (row.quarantine_count, row.level(), Reverse(row.age_ms)));
            let Some(least) = least else {
                return;
            };
            self.entries.remove(&least.fingerprint);
        }
    }

    /// Forgets what is over.
    fn expire(&mut self, now_us: u64) {
        self.entries.retain(|_, entry| entry.sends_in_flight > 0 || !entry.suspect.expired(now_us));
    }

    /// What is known of these.
    fn records_of(
        &self,
        keys: impl IntoIterator<Item = Fingerprint>,
        now_us: u64,
    ) -> Vec<SuspectRecord> {
        let row = |key| self.entries.get(&key).map(|entry| entry.record(key, now_us));
        keys.into_iter().filter_map(row).collect()
    }

    /// The entry of a request; a new one has news of that time.
    fn entry_or_insert(
        &mut self,
        fingerprint: Fingerprint,
        last_change_us: u64,
        now_us: u64,
    ) -> &mut Entry {
        if !self.entries.contains_key(&fingerprint) {
            self.make_room(now_us);
        }
        let new = || Entry {
            suspect: SuspectRequest::new(fingerprint.scope, last_change_us),
            sends_in_flight: 0,
            known_since_us: now_us,
            service_hash: 0,
        };
        self.entries.entry(fingerprint).or_insert_with(new)
    }

    fn denial(&self, fingerprints: &Fingerprints, now_us: u64) -> Option<Denial> {
        let entries = FingerprintScope::ALL.iter().map(|scope| fingerprints.in_scope(*scope));
        let known = entries.filter_map(|fingerprint| self.entries.get(&fingerprint));
        known.into_iter().find_map(|entry| entry.denial(now_us))
    }

    /// Takes note of a crash; returns the fingerprints that it convicts.
    fn record_crash(&mut self, trial: &AdmittedSend, server: u32, now_us: u64) -> Vec<Fingerprint> {
        let mut convicted = Vec::new();
        for (scope, known) in FingerprintScope::ALL.into_iter().zip(trial.known_crashes) {
            let fingerprint = trial.fingerprints.in_scope(scope);
            let variant = trial.fingerprints.variant_in(scope);
            let crash = Crash { level: known.level.saturating_add(1), server, variant };
            let answered_us = self.last_response_us.get(&trial.service_hash).copied();
            let entry = self.entry_or_insert(fingerprint, now_us, now_us);
            let others_served = answered_us.is_some_and(|at| at > entry.known_since_us);
            entry.service_hash = trial.service_hash;
            if entry.suspect.record_crash(crash, others_served, now_us) {
                convicted.push(fingerprint);
            }
            self.unsent_updates.insert(fingerprint);
        }
        self.newly_quarantined.extend(&convicted);
        convicted
    }

    /// Takes note of an answer; tells whether it changed anything.
    fn record_response(&mut self, trial: &AdmittedSend, now_us: u64) -> bool {
        self.last_response_us.insert(trial.service_hash, now_us);
        for entry in
            self.entries.values_mut().filter(|entry| entry.service_hash == trial.service_hash)
        {
            entry.suspect.end_pause();
        }
        let mut changed = false;
        for (scope, known) in FingerprintScope::ALL.into_iter().zip(trial.known_crashes) {
            let fingerprint = trial.fingerprints.in_scope(scope);
            let entry = self.entries.get_mut(&fingerprint);
            if entry.is_some_and(|entry| entry.suspect.record_response(known.level, now_us)) {
                self.unsent_updates.insert(fingerprint);
                changed = true;
            }
        }
        changed
    }

    /// Takes in what another instance knows; tells whether the request is refused since. What is
    /// over is not taken in again, or instances would remind each other of it for ever.
    fn merge(&mut self, row: &SuspectRecord, now_us: u64) -> bool {
        let held = |suspect: &SuspectRequest| {
            matches!(suspect.send_policy(now_us), SendPolicy::Blocked { .. })
        };
        let answered_us = self.last_response_us.get(&row.service).copied();
        let entry = self.entry_or_insert(row.fingerprint, row.last_change_us(now_us), now_us);
        let others_served = answered_us.is_some_and(|at| at > entry.known_since_us);
        entry.service_hash = row.service;
        let suspect = &mut entry.suspect;
        let was_held = held(suspect);
        let convicted = suspect.merge(row, others_served, now_us);
        let is_held = held(suspect);
        if suspect.expired(now_us) {
            self.entries.remove(&row.fingerprint);
        }
        if convicted {
            self.unsent_updates.insert(row.fingerprint);
            self.newly_quarantined.push(row.fingerprint);
        }
        is_held && !was_held
    }
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    /// Entries; read without the lock, so that requests pass freely while there are none.
    entry_count: AtomicUsize,
    updates_pending: Notify,
    quarantine_pending: Notify,
}

/// The requests under which servers ended; clones share.
#[derive(Clone, Debug, Default)]
pub struct Quarantine(Arc<Inner>);

impl Quarantine {
    fn update<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.0.state.lock();
        let done = work(&mut state);
        if state.entries.is_empty() {
            state.last_response_us.clear();
        }
        self.0.entry_count.store(state.entries.len(), Ordering::Release);
        done
    }

    fn is_empty(&self) -> bool {
        self.0.entry_count.load(Ordering::Acquire) == 0
    }

    /// Why a request may not be sent now; `None` where it may.
    #[must_use]
    pub fn denial(&self, fingerprints: &Fingerprints) -> Option<Denial> {
        if self.is_empty() {
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
    pub fn admit(
        &self,
        fingerprints: &Fingerprints,
        service: &str,
    ) -> Result<AdmittedSend, Denial> {
        let known =
            if self.is_empty() { Default::default() } else { self.count_send(fingerprints)? };
        let service = short_hash(service.as_bytes());
        Ok(AdmittedSend {
            quarantine: self.clone(),
            fingerprints: *fingerprints,
            service_hash: service,
            known_crashes: known,
        })
    }

    fn count_send(&self, fingerprints: &Fingerprints) -> Result<[KnownCrashes; 3], Denial> {
        let mut state = self.0.state.lock();
        if let Some(denial) = state.denial(fingerprints, now_us()) {
            return Err(denial);
        }
        Ok(FingerprintScope::ALL.map(|scope| {
            let entry = state.entries.get_mut(&fingerprints.in_scope(scope));
            entry.map_or_else(KnownCrashes::default, |entry| {
                entry.sends_in_flight += 1;
                KnownCrashes { level: entry.suspect.level(), counted: true }
            })
        }))
    }

    pub(super) fn end_send(&self, trial: &AdmittedSend) {
        let mut state = self.0.state.lock();
        for (scope, known) in FingerprintScope::ALL.into_iter().zip(trial.known_crashes) {
            let entry = state.entries.get_mut(&trial.fingerprints.in_scope(scope));
            if let Some(entry) = entry.filter(|_| known.counted) {
                entry.sends_in_flight = entry.sends_in_flight.saturating_sub(1);
            }
        }
    }

    pub(super) fn record_crash(&self, trial: &AdmittedSend, server: u32) {
        let convicted = self.update(|state| state.record_crash(trial, server, now_us()));
        self.0.updates_pending.notify_one();
        if !convicted.is_empty() {
            self.0.quarantine_pending.notify_one();
        }
        for fingerprint in convicted {
            log_quarantined(fingerprint, "here");
        }
    }

    pub(super) fn record_response(&self, trial: &AdmittedSend) {
        if self.is_empty() {
            return;
        }
        let changed = self.update(|state| state.record_response(trial, now_us()));
        if changed {
            self.0.updates_pending.notify_one();
            let [exact, by_caller, content] = trial.fingerprints.to_hex();
            info!(
                event = "suspect-answered", content = content.as_str(), exact = exact.as_str(),
                by_caller = by_caller.as_str(),
                known_level = trial.known_level();
                "a server answered it, so the crashes before were not its doing"
            );
        }
    }

    /// Takes in what another instance knows.
    pub fn merge(&self, rows: &[SuspectRecord]) {
        let now_us = now_us();
        let held: Vec<Fingerprint> = self.update(|state| {
            let refused = rows.iter().filter(|row| state.merge(row, now_us));
            refused.map(|row| row.fingerprint).collect()
        });
        if !held.is_empty() {
            self.0.updates_pending.notify_one();
            self.0.quarantine_pending.notify_one();
        }
        for fingerprint in held {
            log_quarantined(fingerprint, "told");
        }
    }

    /// Takes in what another instance knows; returns what is known otherwise here, of these or, where
    /// they are `all` that it knows, at all.
    #[must_use]
    pub fn merge_and_diff(&self, rows: &[SuspectRecord], all: bool) -> Vec<SuspectRecord> {
        self.merge(rows);
        let told: HashMap<Fingerprint, u64> =
            rows.iter().map(|row| (row.fingerprint, row.content_hash())).collect();
        let differs = |row: &SuspectRecord| match told.get(&row.fingerprint) {
            Some(hash) => *hash != row.content_hash(),
            None => all,
        };
        self.records().into_iter().filter(differs).collect()
    }

    /// All that is known.
    #[must_use]
    pub fn records(&self) -> Vec<SuspectRecord> {
        if self.is_empty() {
            return Vec::new();
        }
        let now_us = now_us();
        self.update(|state| {
            state.expire(now_us);
            state.entries.iter().map(|(key, entry)| entry.record(*key, now_us)).collect()
        })
    }

    /// Equal for instances that know the same; 0 where nothing is known.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.records().iter().fold(0, |digest, row| digest ^ row.content_hash())
    }

    /// What this instance found out and has not told yet, as soon as there is something.
    pub async fn next_updates(&self) -> Vec<SuspectRecord> {
        loop {
            let changed = self.0.updates_pending.notified();
            let news = self.take_updates();
            if !news.is_empty() {
                return news;
            }
            changed.await;
        }
    }

    fn take_updates(&self) -> Vec<SuspectRecord> {
        let now_us = now_us();
        self.update(|state| {
            let news = std::mem::take(&mut state.unsent_updates);
            state.records_of(news, now_us)
        })
    }

    /// Requests that this instance convicted, as soon as there is one.
    pub async fn next_quarantined(&self) -> Vec<SuspectRecord> {
        loop {
            let told = self.0.quarantine_pending.notified();
            let now_us = now_us();
            let rows: Vec<SuspectRecord> = self.update(|state| {
                let convicted = std::mem::take(&mut state.newly_quarantined);
                state.records_of(convicted, now_us)
            });
            if !rows.is_empty() {
                return rows;
            }
            told.await;
        }
    }
}

fn log_quarantined(fingerprint: Fingerprint, learned: &str) {
    let name = fingerprint.to_string();
    warn!(
        event = "request-quarantined", scope = fingerprint.scope.name(), fingerprint = name.as_str(),
        learned = learned;
        "it crashes the servers that run it; it is refused from now on"
    );
}
