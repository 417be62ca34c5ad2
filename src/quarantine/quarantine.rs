//! Table of the requests that may crash servers, as known to this instance.

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
use super::admitted_send::KnownCrashes;
use super::fingerprint::short_hash;
use crate::clock::now_us;

/// Capacity of the table. When an availability zone loses power, each request that ran there is
/// suspect for some minutes. The table keeps those with the most quarantines, the highest level and
/// the latest change, some 30 bytes each, which bounds the size of gossip messages.
const SUSPECTS_MAX: usize = 128;

/// A suspect request, and its sends by this instance.
#[derive(Debug)]
struct Entry {
    suspect: SuspectRequest,
    /// Sends by this instance that are in flight.
    sends_in_flight: u32,
    /// When this instance learned of the first crash that still counts.
    crashing_since_us: u64,
    /// Hash of the name of the service it was last sent to.
    service_hash: u32,
}

impl Entry {
    fn record(&self, fingerprint: Fingerprint, now_us: u64) -> SuspectRecord {
        SuspectRecord { service: self.service_hash, ..self.suspect.record(fingerprint, now_us) }
    }

    /// Whether other requests of the service got responses while servers crashed under this one.
    fn others_served(&self, last_response_us: Option<u64>) -> bool {
        last_response_us.is_some_and(|at| at > self.crashing_since_us)
    }

    fn denial(&self, now_us: u64) -> Option<Denial> {
        match self.suspect.send_policy(now_us) {
            SendPolicy::Blocked { remaining } => Some(Denial::Quarantined { remaining }),
            SendPolicy::OneAtATime if self.sends_in_flight > 0 => Some(Denial::AlreadyInFlight),
            _ => None,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    entries: HashMap<Fingerprint, Entry>,
    /// Entries with changes that were not gossiped yet.
    unsent_updates: HashSet<Fingerprint>,
    /// Entries quarantined by this instance that were not written to the platform's store yet.
    newly_quarantined: Vec<Fingerprint>,
    /// Time of the last response to this instance by hash of the service; only kept while there are
    /// entries.
    last_response_us: HashMap<u32, u64>,
}

impl State {
    /// Removes expired entries, and the least important ones until there is room for one more.
    fn make_room(&mut self, now_us: u64) {
        self.expire(now_us);
        while self.entries.len() >= SUSPECTS_MAX {
            let records = self.entries.iter().map(|(key, entry)| entry.record(*key, now_us));
            let least_important = records.min_by_key(|record| {
                (record.quarantine_count, record.level(), Reverse(record.age_ms))
            });
            let Some(least_important) = least_important else {
                return;
            };
            self.entries.remove(&least_important.fingerprint);
        }
    }

    /// Removes expired entries.
    fn expire(&mut self, now_us: u64) {
        self.entries.retain(|_, entry| entry.sends_in_flight > 0 || !entry.suspect.expired(now_us));
    }

    /// Records of these fingerprints.
    fn records_of(
        &self,
        keys: impl IntoIterator<Item = Fingerprint>,
        now_us: u64,
    ) -> Vec<SuspectRecord> {
        let record = |key| self.entries.get(&key).map(|entry| entry.record(key, now_us));
        keys.into_iter().filter_map(record).collect()
    }

    /// Entry of a request under which a server crashed; a new one gets `last_change_us` as the time of
    /// its last change. If no earlier crash counts, responses count from now on: in an outage all
    /// requests look the same, and a response from before it shows nothing.
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
            crashing_since_us: now_us,
            service_hash: 0,
        };
        let entry = self.entries.entry(fingerprint).or_insert_with(new);
        if entry.suspect.is_cleared() {
            entry.crashing_since_us = now_us;
        }
        entry
    }

    fn denial(&self, fingerprints: &Fingerprints, now_us: u64) -> Option<Denial> {
        let entries = FingerprintScope::ALL.iter().map(|scope| fingerprints.in_scope(*scope));
        let known = entries.filter_map(|fingerprint| self.entries.get(&fingerprint));
        known.into_iter().find_map(|entry| entry.denial(now_us))
    }

    /// Records a crash; returns the fingerprints that are quarantined by it.
    fn record_crash(
        &mut self,
        admitted_send: &AdmittedSend,
        server_hash: u32,
        now_us: u64,
    ) -> Vec<Fingerprint> {
        let mut quarantined = Vec::new();
        for (scope, known) in FingerprintScope::ALL.into_iter().zip(admitted_send.known_crashes) {
            let fingerprint = admitted_send.fingerprints.in_scope(scope);
            let variant = admitted_send.fingerprints.variant_in(scope);
            let crash =
                Crash { level: known.level.saturating_add(1), server: server_hash, variant };
            let last_response_us = self.last_response_us.get(&admitted_send.service_hash).copied();
            let entry = self.entry_or_insert(fingerprint, now_us, now_us);
            let others_served = entry.others_served(last_response_us);
            entry.service_hash = admitted_send.service_hash;
            if entry.suspect.record_crash(crash, others_served, now_us) {
                quarantined.push(fingerprint);
            }
            self.unsent_updates.insert(fingerprint);
        }
        self.newly_quarantined.extend(&quarantined);
        quarantined
    }

    /// Records a response; returns whether it changed an entry of the request.
    fn record_response(&mut self, admitted_send: &AdmittedSend, now_us: u64) -> bool {
        self.last_response_us.insert(admitted_send.service_hash, now_us);
        for entry in self
            .entries
            .values_mut()
            .filter(|entry| entry.service_hash == admitted_send.service_hash)
        {
            entry.suspect.end_pause();
        }
        let mut changed = false;
        for (scope, known) in FingerprintScope::ALL.into_iter().zip(admitted_send.known_crashes) {
            let fingerprint = admitted_send.fingerprints.in_scope(scope);
            let entry = self.entries.get_mut(&fingerprint);
            if entry.is_some_and(|entry| entry.suspect.record_response(known.level, now_us)) {
                self.unsent_updates.insert(fingerprint);
                changed = true;
            }
        }
        changed
    }

    /// Merges a record of another instance; returns whether this blocks the request. An expired
    /// record is not added again, or instances would keep sending it to each other forever.
    fn merge(&mut self, record: &SuspectRecord, now_us: u64) -> bool {
        let blocked = |suspect: &SuspectRequest| {
            matches!(suspect.send_policy(now_us), SendPolicy::Blocked { .. })
        };
        let last_response_us = self.last_response_us.get(&record.service).copied();
        let entry = self.entry_or_insert(record.fingerprint, record.last_change_us(now_us), now_us);
        let others_served = entry.others_served(last_response_us);
        entry.service_hash = record.service;
        let suspect = &mut entry.suspect;
        let was_blocked = blocked(suspect);
        let quarantined = suspect.merge(record, others_served, now_us);
        let is_blocked = blocked(suspect);
        if suspect.expired(now_us) {
            self.entries.remove(&record.fingerprint);
        }
        if quarantined {
            self.unsent_updates.insert(record.fingerprint);
            self.newly_quarantined.push(record.fingerprint);
        }
        is_blocked && !was_blocked
    }
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    /// Number of entries; read without the lock, so that requests take no lock while there are
    /// none.
    entry_count: AtomicUsize,
    /// Wakes [`Quarantine::next_updates`].
    updates_pending: Notify,
    /// Wakes [`Quarantine::next_quarantined`].
    quarantine_pending: Notify,
}

/// Requests that may crash servers; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Quarantine(Arc<Inner>);

impl Quarantine {
    /// Changes the state under the lock, and keeps `entry_count` up to date.
    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.0.state.lock();
        let result = change(&mut state);
        if state.entries.is_empty() {
            state.last_response_us.clear();
        }
        self.0.entry_count.store(state.entries.len(), Ordering::Release);
        result
    }

    fn is_empty(&self) -> bool {
        self.0.entry_count.load(Ordering::Acquire) == 0
    }

    /// Why a request may not be sent now; `None` if it may.
    #[must_use]
    pub fn denial(&self, fingerprints: &Fingerprints) -> Option<Denial> {
        if self.is_empty() {
            return None;
        }
        self.0.state.lock().denial(fingerprints, now_us())
    }

    /// Admits one send of a request.
    ///
    /// A request that may have crashed servers is sent one at a time. Otherwise each copy that
    /// arrives between the send and the crash would crash a server, however fast crashes are
    /// gossiped.
    ///
    /// # Errors
    /// If the request may not be sent now.
    pub fn admit(
        &self,
        fingerprints: &Fingerprints,
        service: &str,
    ) -> Result<AdmittedSend, Denial> {
        let known_crashes =
            if self.is_empty() { Default::default() } else { self.count_send(fingerprints)? };
        let service_hash = short_hash(service.as_bytes());
        Ok(AdmittedSend {
            quarantine: self.clone(),
            fingerprints: *fingerprints,
            service_hash,
            known_crashes,
        })
    }

    /// Counts a send as in flight; returns what is known in each scope.
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

    /// Counts a send as no longer in flight.
    pub(super) fn end_send(&self, admitted_send: &AdmittedSend) {
        let mut state = self.0.state.lock();
        for (scope, known) in FingerprintScope::ALL.into_iter().zip(admitted_send.known_crashes) {
            let entry = state.entries.get_mut(&admitted_send.fingerprints.in_scope(scope));
            if let Some(entry) = entry.filter(|_| known.counted) {
                entry.sends_in_flight = entry.sends_in_flight.saturating_sub(1);
            }
        }
    }

    /// Records that a server crashed before its response to a send was complete.
    pub(super) fn record_crash(&self, admitted_send: &AdmittedSend, server_hash: u32) {
        let quarantined =
            self.update(|state| state.record_crash(admitted_send, server_hash, now_us()));
        self.0.updates_pending.notify_one();
        if !quarantined.is_empty() {
            self.0.quarantine_pending.notify_one();
        }
        for fingerprint in quarantined {
            log_quarantined(fingerprint, "here");
        }
    }

    /// Records that a send got a complete response.
    pub(super) fn record_response(&self, admitted_send: &AdmittedSend) {
        if self.is_empty() {
            return;
        }
        let changed = self.update(|state| state.record_response(admitted_send, now_us()));
        if changed {
            self.0.updates_pending.notify_one();
            let [exact, by_caller, content] = admitted_send.fingerprints.to_hex();
            info!(
                event = "suspect-answered", content = content.as_str(), exact = exact.as_str(),
                by_caller = by_caller.as_str(),
                known_level = admitted_send.known_level();
                "the request got a response, so it did not cause the earlier crashes"
            );
        }
    }

    /// Merges records of another instance.
    pub fn merge(&self, records: &[SuspectRecord]) {
        let now_us = now_us();
        let blocked: Vec<Fingerprint> = self.update(|state| {
            let newly_blocked = records.iter().filter(|record| state.merge(record, now_us));
            newly_blocked.map(|record| record.fingerprint).collect()
        });
        if !blocked.is_empty() {
            self.0.updates_pending.notify_one();
            self.0.quarantine_pending.notify_one();
        }
        for fingerprint in blocked {
            log_quarantined(fingerprint, "told");
        }
    }

    /// Merges records of another instance; returns those that differ here. If the records are `all`
    /// that the other instance has, those that it lacks are returned, too.
    #[must_use]
    pub fn merge_and_diff(&self, records: &[SuspectRecord], all: bool) -> Vec<SuspectRecord> {
        self.merge(records);
        let received: HashMap<Fingerprint, u64> =
            records.iter().map(|record| (record.fingerprint, record.content_hash())).collect();
        let differs = |record: &SuspectRecord| match received.get(&record.fingerprint) {
            Some(hash) => *hash != record.content_hash(),
            None => all,
        };
        self.records().into_iter().filter(differs).collect()
    }

    /// All records that have not expired.
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

    /// Hash of all records; equal for instances that hold the same ones, 0 if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.records().iter().fold(0, |digest, record| digest ^ record.content_hash())
    }

    /// Waits for changes that were not gossiped yet, and returns their records.
    pub async fn next_updates(&self) -> Vec<SuspectRecord> {
        loop {
            let changed = self.0.updates_pending.notified();
            let updates = self.take_updates();
            if !updates.is_empty() {
                return updates;
            }
            changed.await;
        }
    }

    fn take_updates(&self) -> Vec<SuspectRecord> {
        let now_us = now_us();
        self.update(|state| {
            let updates = std::mem::take(&mut state.unsent_updates);
            state.records_of(updates, now_us)
        })
    }

    /// Waits for requests that this instance quarantined, and returns their records.
    pub async fn next_quarantined(&self) -> Vec<SuspectRecord> {
        loop {
            let notified = self.0.quarantine_pending.notified();
            let now_us = now_us();
            let records: Vec<SuspectRecord> = self.update(|state| {
                let quarantined = std::mem::take(&mut state.newly_quarantined);
                state.records_of(quarantined, now_us)
            });
            if !records.is_empty() {
                return records;
            }
            notified.await;
        }
    }
}

/// `learned` tells whether the crashes were recorded `here` or the quarantine was `told` by another
/// instance.
fn log_quarantined(fingerprint: Fingerprint, learned: &str) {
    let name = fingerprint.to_string();
    warn!(
        event = "request-quarantined", scope = fingerprint.scope.name(), fingerprint = name.as_str(),
        learned = learned;
        "the request crashes the servers that run it; it is rejected from now on"
    );
}
