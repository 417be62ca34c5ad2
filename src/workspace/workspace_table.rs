//! The workspaces of one version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;

use super::KeyHash;
use super::Workspace;

/// What a key gives.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyAccess {
    /// Requests of this workspace.
    Granted(Arc<Workspace>),
    /// Nothing for now: what the operators wrote of its workspace cannot be read, so nobody knows
    /// whether they took the key away.
    Suspended,
}

/// Workspaces by their keys and names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceTable {
    by_key: HashMap<KeyHash, KeyAccess>,
    by_name: HashMap<Arc<str>, Arc<Workspace>>,
}

impl WorkspaceTable {
    /// Adds a workspace. A key that two of them hold says nothing of who sent it, and opens neither.
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

    /// Closes keys that are not known otherwise.
    pub fn suspend(&mut self, keys: &[KeyHash]) {
        for key in keys {
            self.by_key.entry(*key).or_insert(KeyAccess::Suspended);
        }
    }

    /// What a key gives; `None` for one of no workspace.
    #[must_use]
    pub fn access(&self, key: KeyHash) -> Option<&KeyAccess> {
        self.by_key.get(&key)
    }

    /// The workspace of this name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Whether any workspace has a bound on its requests.
    #[must_use]
    pub fn any_limited(&self) -> bool {
        self.by_name.values().any(|workspace| workspace.is_limited())
    }

    /// Number of workspaces, for logs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
