//! The backend servers that this instance has connections to.

use std::collections::HashMap;
use std::sync::Arc;

use super::server::Server;

/// A server with connections.
#[derive(Debug)]
struct UsedServer {
    server: Arc<Server>,
    /// Whether no connection was open at the last check. One may have been opening then, which is
    /// given a quarter of a second, half of the interval between two checks.
    closed: bool,
}

/// The servers with connections, which are visited to close those that idle for too long. An
/// instance that is not advertised to callers has none, among hundreds of servers that it knows.
#[derive(Debug, Default)]
pub(super) struct ServersInUse {
    by_key: HashMap<u32, UsedServer>,
}

impl ServersInUse {
    /// Records a server to which a connection may be opened now.
    pub(super) fn record(&mut self, server: &Arc<Server>) {
        let new = || UsedServer { server: Arc::clone(server), closed: false };
        self.by_key.entry(server.key).or_insert_with(new).closed = false;
    }

    /// The servers in use.
    pub(super) fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_key.values().map(|in_use| &in_use.server)
    }

    /// Closes connections that can no longer be reused, and removes servers without any.
    pub(super) fn close_expired(&mut self) {
        self.by_key.retain(|_, in_use| {
            let conns = &in_use.server.conns;
            conns.close_expired();
            let was_closed = std::mem::replace(&mut in_use.closed, conns.open_count() == 0);
            !(was_closed && in_use.closed)
        });
    }
}
