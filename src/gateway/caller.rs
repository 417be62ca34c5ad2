//! Whose request it is, told by its key.

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

/// When to come back while a workspace cannot be read: its operators correct that within minutes.
const SUSPENDED_KEY_RETRY_MS: u64 = 2_000;

/// The workspace of a request, and the key that says so.
#[derive(Clone, Debug)]
pub struct Caller {
    pub workspace: Arc<Workspace>,
    key: KeyHash,
}

/// The only key that a request bears.
fn single_key(headers: &HeaderMap, name: &HeaderName) -> Option<KeyHash> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|value| !value.is_empty())?;
    values.next().is_none().then(|| KeyHash::of(value.as_bytes()))
}

impl Caller {
    /// Whose request it is; `None` where no key is needed.
    ///
    /// # Errors
    /// The final answer where the key opens nothing.
    pub fn authenticate(
        table: &RouteTable,
        route: &Route,
        headers: &HeaderMap,
        key_name: &HeaderName,
    ) -> Result<Option<Self>, LocalReply> {
        let Some(workspaces) = &table.workspaces else {
            return Ok(None);
        };
        if route.key_exempt {
            return Ok(None);
        }
        let key = single_key(headers, key_name).ok_or_else(LocalReply::key_rejected)?;
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

    /// Whether its key still opens the same workspace.
    #[must_use]
    pub fn still_authenticated(&self, table: &RouteTable) -> bool {
        let access = table.workspaces.as_ref().and_then(|workspaces| workspaces.access(self.key));
        matches!(access, Some(KeyAccess::Granted(workspace)) if workspace.name == self.workspace.name)
    }
}
