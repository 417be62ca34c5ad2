//! Puts what the platform's store says in force.

use std::sync::Arc;
use std::time::Duration;

use log::error;
use log::info;

use super::Dialect;
use super::caller_handler::TableInForce;
use super::dispatcher::Dispatcher;
use super::mirror::Sink;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::store::Item;

/// Puts versions of the operators' configuration in force.
#[derive(Debug)]
pub struct ConfigSink<D> {
    pub dialect: D,
    pub table: TableInForce,
    pub board: Arc<Blackboard>,
}

impl<D: Dialect> Sink for ConfigSink<D> {
    fn written(&mut self, item: &Item) {
        if item.key != self.dialect.keys().config {
            return;
        }
        let table = match self.dialect.decode_config(&item.value) {
            Ok(table) => table,
            Err(why) => {
                error!(event = "config-unreadable", revision = item.revision, why = why.as_str(); "");
                return;
            }
        };
        // A read that answers late must not take a newer version back.
        let before = self.table.load().as_ref().map(|table| table.version);
        if before.is_some_and(|before| before >= table.version) {
            return;
        }
        info!(
            event = "config-in-force", version = table.version, before = before.unwrap_or(0),
            routes = table.route_count(), revision = item.revision;
            "configuration changed"
        );
        self.table.store(Some(Arc::new(table)));
        self.board.counters.add(Counter::ConfigMerged);
    }

    fn removed(&mut self, key: &str, _: Duration) {
        info!(event = "config-removed", key = key; "the last version stays in force");
    }
}

/// Lists backend servers.
#[derive(Debug)]
pub struct ServerSink<D> {
    pub dialect: D,
    pub dispatcher: Dispatcher,
}

impl<D: Dialect> Sink for ServerSink<D> {
    fn written(&mut self, item: &Item) {
        let id = item.key.strip_prefix(self.dialect.keys().servers_prefix).unwrap_or(&item.key);
        match self.dialect.decode_server(id, &item.value) {
            Ok(row) => {
                info!(
                    event = "server-listed", server = id, service = &*row.service,
                    address = row.address.to_string().as_str(), zone = &*row.zone,
                    draining = row.draining(), warmup_ms = row.warmup_ms,
                    revision = item.revision;
                    ""
                );
                self.dispatcher.list(row);
            }
            Err(why) => error!(event = "server-unreadable", server = id, why = why.as_str(); ""),
        }
    }

    fn removed(&mut self, key: &str, grace: Duration) {
        let id = key.strip_prefix(self.dialect.keys().servers_prefix).unwrap_or(key);
        info!(event = "server-unlisted", server = id, grace_ms = grace.as_millis(); "");
        self.dispatcher.unlist(id, grace);
    }
}
