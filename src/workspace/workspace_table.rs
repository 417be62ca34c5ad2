//! Workspaces of one version of the configuration, by key and by name.

use std::collections::HashMap;
use std::sync::Arc;

use super::KeyHash;
use super::Workspace;

/// Access that an API key grants.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyAccess {
    /// Requests run as this workspace.
    Granted(Arc<Workspace>),
    /// No access for now. Either the configuration of the key's workspace cannot be read, so the
    /// key may have been revoked, or two workspaces list the key.
    Suspended,
}

/// Workspaces, indexed by key and by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceTable {
    by_key: HashMap<KeyHash, KeyAccess>,
    by_name: HashMap<Arc<str>, Arc<Workspace>>,
}

impl WorkspaceTable {
    /// Adds a workspace. A key that two workspaces list is suspended, since it does not identify
    /// one of them.
    pub fn add(&mut self, workspace: Workspace) {
        let workspace = Arc::new(workspace);
        for key in &workspace.key_hashes {
            let key_access = KeyAccess::Granted(Arc::clone(&workspace));
            if self.by_key.insert(*key, key_access).is_some() {
                self.by_key.insert(*key, KeyAccess::Suspended);
            }
        }
        self.by_name.insert(Arc::clone(&workspace.name), workspace);
    }

    /// Suspends those of the keys that the table does not contain yet.
    pub fn suspend(&mut self, keys: &[KeyHash]) {
        for key in keys {
            self.by_key.entry(*key).or_insert(KeyAccess::Suspended);
        }
    }

    /// Access granted by a key; `None` if no workspace lists it.
    #[must_use]
    pub fn access(&self, key: KeyHash) -> Option<&KeyAccess> {
        self.by_key.get(&key)
    }

    /// The workspace with this name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Whether any workspace has a quota.
    #[must_use]
    pub fn any_limited(&self) -> bool {
        self.by_name.values().any(|workspace| workspace.is_limited())
    }

    /// Number of workspaces.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no workspaces.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
