//! Identifies the workspace of a request by its API key.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderName;

use super::Route;
use super::RouteTable;
use super::reply::LocalReply;
use crate::errors::Code;
use crate::workspace::KeyAccess;
use crate::workspace::KeyHash;
use crate::workspace::Workspace;

/// Retry delay, in milliseconds, while the entry of a workspace is unreadable. Operators correct
/// that within minutes.
const SUSPENDED_KEY_RETRY_MS: u64 = 2_000;

/// The workspace of a request and the hash of the key that identified it.
#[derive(Clone, Debug)]
pub struct Caller {
    pub workspace: Arc<Workspace>,
    key: KeyHash,
}

/// The hash of the request's key; `None` unless the header occurs exactly once and is not empty.
pub(super) fn single_key(headers: &HeaderMap, name: &HeaderName) -> Option<KeyHash> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|value| !value.is_empty())?;
    values.next().is_none().then(|| KeyHash::of(value.as_bytes()))
}

impl Caller {
    /// Identifies the caller by the hash of its key; `None` if the route or configuration requires
    /// no key.
    ///
    /// # Errors
    /// The final reply if the key is missing or unknown, or if its workspace is unreadable.
    pub fn authenticate(
        table: &RouteTable,
        route: &Route,
        key: Option<KeyHash>,
    ) -> Result<Option<Self>, LocalReply> {
        let Some(workspaces) = &table.workspaces else {
            return Ok(None);
        };
        if route.key_exempt {
            return Ok(None);
        }
        let key = key.ok_or_else(LocalReply::key_rejected)?;
        match workspaces.access(key) {
            Some(KeyAccess::Granted(workspace)) => {
                Ok(Some(Self { workspace: Arc::clone(workspace), key }))
            }
            Some(KeyAccess::Suspended) => {
                Err(LocalReply::not_run(Code::KeyClosed, SUSPENDED_KEY_RETRY_MS))
            }
            None => Err(LocalReply::key_rejected()),
        }
    }

    /// Hash of the caller's key.
    #[must_use]
    pub const fn key(&self) -> KeyHash {
        self.key
    }

    /// Whether the key still belongs to the same workspace.
    #[must_use]
    pub fn still_authenticated(&self, table: &RouteTable) -> bool {
        let access = table.workspaces.as_ref().and_then(|workspaces| workspaces.access(self.key));
        matches!(access, Some(KeyAccess::Granted(workspace)) if workspace.name == self.workspace.name)
    }
}
