//! The backend servers to which this instance has connections.

use std::collections::HashMap;
use std::sync::Arc;

use super::server::Server;

#[derive(Debug)]
struct UsedServer {
    server: Arc<Server>,
    /// Without an open connection when last looked at. One may be being opened then, for which a
    /// quarter of a second is allowed, half of the time between two looks.
    closed: bool,
}

/// Servers with connections, which are gone through to close those that are idle for too long: an
/// instance that callers are not told of has none, among hundreds of servers that it knows.
#[derive(Debug, Default)]
pub(super) struct ServersInUse {
    by_key: HashMap<u32, UsedServer>,
}

impl ServersInUse {
    /// Takes note of a server to which a connection may be opened now.
    pub(super) fn record(&mut self, server: &Arc<Server>) {
        let new = || UsedServer { server: Arc::clone(server), closed: false };
        self.by_key.entry(server.key).or_insert_with(new).closed = false;
    }

    /// These servers.
    pub(super) fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_key.values().map(|in_use| &in_use.server)
    }

    /// Closes connections that may not be used again.
    pub(super) fn close_expired(&mut self) {
        self.by_key.retain(|_, in_use| {
            let conns = &in_use.server.conns;
            conns.close_expired();
            let was_closed = std::mem::replace(&mut in_use.closed, conns.open_count() == 0);
            !(was_closed && in_use.closed)
        });
    }
}
