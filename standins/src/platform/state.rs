//! State of the platform, which survives a restart of its server.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

/// A machine in one of the platform's lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMachine {
    pub id: String,
    pub ip: String,
    /// Beyond the ports that exist in a row that no machine has.
    pub port: u64,
    pub zone: String,
    pub leaving: bool,
}

#[derive(Clone, Debug)]
pub(super) struct KeyRow {
    pub value: Vec<u8>,
    pub create_index: u64,
    pub modify_index: u64,
    pub session: Option<String>,
}

/// What the store held at one moment.
#[derive(Clone, Debug)]
pub struct PlatformCopy {
    index: u64,
    kv: BTreeMap<String, KeyRow>,
}

#[derive(Debug)]
struct Session {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    index: u64,
    kv: BTreeMap<String, KeyRow>,
    sessions: BTreeMap<String, Session>,
    lists: BTreeMap<String, Vec<ListedMachine>>,
}

/// Keys, sessions and machine lists; clones share the state.
#[derive(Clone, Debug)]
pub struct PlatformState {
    rows: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
}

impl Default for PlatformState {
    fn default() -> Self {
        Self { rows: Arc::default(), changed: watch::Sender::new(0) }
    }
}

impl Inner {
    fn write(&mut self, key: &str, value: &[u8], session: Option<String>) {
        self.index += 1;
        let index = self.index;
        let create_index = self.kv.get(key).map_or(index, |row| row.create_index);
        let row = KeyRow { value: value.into(), create_index, modify_index: index, session };
        self.kv.insert(key.into(), row);
    }

    /// Ends expired sessions and deletes the keys that they hold.
    fn expire_sessions(&mut self) {
        let now = Instant::now();
        let over = self.sessions.iter().filter(|(_, session)| session.expires_at <= now);
        let over: Vec<String> = over.map(|(id, _)| id.clone()).collect();
        for id in over {
            self.end_session(&id);
        }
    }

    fn end_session(&mut self, id: &str) {
        self.sessions.remove(id);
        let before = self.kv.len();
        self.kv.retain(|_, row| row.session.as_deref() != Some(id));
        if self.kv.len() < before {
            self.index += 1;
        }
    }
}

impl PlatformState {
    /// Replaces a list of machines.
    pub fn set_list(&self, name: &str, machines: Vec<ListedMachine>) {
        self.rows.lock().lists.insert(name.into(), machines);
    }

    /// A copy of the keys, for [`PlatformState::restore`].
    #[must_use]
    pub fn copy(&self) -> PlatformCopy {
        let rows = self.rows.lock();
        PlatformCopy { index: rows.index, kv: rows.kv.clone() }
    }

    /// Replaces the keys by an earlier copy, as after the loss of the store's disks: what was
    /// written since is gone, all sessions too, and indexes are given out again.
    pub fn restore(&self, copy: &PlatformCopy) {
        let mut rows = self.rows.lock();
        rows.index = copy.index;
        rows.kv.clone_from(&copy.kv);
        rows.kv.retain(|_, row| row.session.is_none());
        rows.sessions.clear();
        drop(rows);
        self.notify_watchers();
    }

    pub(super) fn list(&self, name: &str) -> Vec<ListedMachine> {
        self.rows.lock().lists.get(name).cloned().unwrap_or_default()
    }

    pub(super) fn list_prefix(&self, prefix: &str) -> (u64, Vec<(String, KeyRow)>) {
        let mut rows = self.rows.lock();
        rows.expire_sessions();
        let below = rows.kv.range(prefix.to_owned()..);
        let below = below.take_while(|(key, _)| key.starts_with(prefix));
        let found: Vec<(String, KeyRow)> =
            below.map(|(key, row)| (key.clone(), row.clone())).collect();
        let index = found.iter().map(|(_, row)| row.modify_index).max();
        (index.unwrap_or(rows.index).max(1), found)
    }

    /// Waits until a key with this prefix has a modify index above `index`, for at most `wait`.
    pub(super) async fn wait_for_change(&self, prefix: &str, index: u64, wait: Duration) {
        let mut changed = self.changed.subscribe();
        let passed = async {
            loop {
                let (_, rows) = self.list_prefix(prefix);
                if rows.iter().any(|(_, row)| row.modify_index > index) {
                    return;
                }
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(wait, passed).await;
    }

    fn notify_watchers(&self) {
        self.changed.send_modify(|turn| *turn += 1);
    }

    /// Writes if the key has the modify index `cas`; 0 means that the key must not exist, `None` that
    /// the write is unconditional.
    pub(super) fn put_cas(&self, key: &str, value: &[u8], cas: Option<u64>) -> bool {
        let mut rows = self.rows.lock();
        rows.expire_sessions();
        let current = rows.kv.get(key).map_or(0, |row| row.modify_index);
        if cas.is_some_and(|cas| cas != current) {
            return false;
        }
        rows.write(key, value, None);
        drop(rows);
        self.notify_watchers();
        true
    }

    pub(super) fn acquire(&self, key: &str, value: &[u8], session: &str) -> bool {
        let mut rows = self.rows.lock();
        rows.expire_sessions();
        if !rows.sessions.contains_key(session) {
            return false;
        }
        let holder = rows.kv.get(key).and_then(|row| row.session.clone());
        if holder.is_some_and(|holder| holder != session) {
            return false;
        }
        rows.write(key, value, Some(session.into()));
        drop(rows);
        self.notify_watchers();
        true
    }

    pub(super) fn open_session(&self, ttl: Duration) -> String {
        let mut rows = self.rows.lock();
        rows.index += 1;
        let id = format!("session-{}", rows.index);
        let session = Session { ttl, expires_at: Instant::now() + ttl };
        rows.sessions.insert(id.clone(), session);
        id
    }

    pub(super) fn renew(&self, id: &str) -> bool {
        let mut rows = self.rows.lock();
        rows.expire_sessions();
        let Some(session) = rows.sessions.get_mut(id) else {
            return false;
        };
        session.expires_at = Instant::now() + session.ttl;
        true
    }

    pub(super) fn close_session(&self, id: &str) {
        self.rows.lock().end_session(id);
        self.notify_watchers();
    }
}
