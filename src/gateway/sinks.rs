//! Applies the contents of the platform's store to this instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use log::error;
use log::info;

use super::ConfigFault;
use super::Dialect;
use super::RouteTable;
use super::ServiceConfig;
use super::caller_handler::CurrentRouteTable;
use super::dispatcher::Dispatcher;
use super::mirror_age::MirrorAge;
use super::mirror_sink::Sink;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::cold::ColdLimit;
use crate::cold::ColdPolicy;
use crate::errors::Code;
use crate::model::ServerRow;
use crate::store::Item;
use crate::store::Revision;
use crate::store::UnreadableEntries;
use crate::workspace::WorkspaceTable;

/// Largest value of a server's entry. What other writers left beyond it is not kept: passed on to
/// other instances, a few such values would exceed what they read at once.
const ENTRY_MAX_BYTES: usize = 64 << 10;
/// Replaces a larger value; no dialect decodes it.
const OVERSIZED_VALUE: &str = "the value is larger than any server's";
/// Number of changes of a batch that are logged individually. After a start each of hundreds of
/// instances receives hundreds of servers at once; one line with their number and revision then
/// suffices.
const BATCH_LINES_MAX: usize = 8;

/// Applies what the operators write: configuration versions and zone evacuations.
#[derive(Debug)]
pub struct OperatorSink<D> {
    pub dialect: D,
    pub table: CurrentRouteTable,
    pub board: Arc<Blackboard>,
    pub dispatcher: Dispatcher,
    /// The age of the mirror that feeds this sink.
    pub age: Arc<MirrorAge>,
}

/// Logs one line for each part of a configuration that could not be parsed.
fn log_faults(faults: &[ConfigFault], version: u64) {
    for fault in faults {
        error!(
            event = "config-part-unreadable", code = fault.code.number(), version = version,
            part = fault.name.as_str(), why = fault.why.as_str(), kept = fault.kept;
            "{}", fault.code
        );
    }
}

impl<D: Dialect> OperatorSink<D> {
    /// The zone that is evacuated by a key, if it is an evacuation key.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.dialect.store_keys().evacuations_prefix)
    }

    /// Evacuates a zone. The existence of the key is enough; its value is ignored, so that a future
    /// format of it cannot cancel an evacuation.
    fn evacuate(&self, zone: &str, revision: u64) {
        if zone.is_empty() || zone.contains('/') {
            error!(
                event = "evacuation-unreadable", code = Code::EvacuationUnreadable.number(),
                zone = zone, revision = revision;
                "{}", Code::EvacuationUnreadable
            );
            return;
        }
        let Some(change) = self.dispatcher.evacuate(zone) else {
            return;
        };
        info!(
            event = "zone-evacuated", zone = zone, servers = change.servers,
            running = change.running, revision = revision;
            "no more requests are sent to its servers"
        );
        self.board.set_evacuated_zones(self.dispatcher.evacuated_zones());
    }

    /// Ends the evacuation of a zone after `grace`, unless the operators have repeated it by then:
    /// a restored store may have lost it.
    fn readmit_unless_repeated(&self, zone: &str, grace: Duration) {
        let doubt = self.dispatcher.doubt_evacuation(zone);
        let (dispatcher, board) = (self.dispatcher.clone(), Arc::clone(&self.board));
        let zone = zone.to_owned();
        tokio::spawn(async move {
            tokio::time::sleep(grace).await;
            if dispatcher.is_evacuation_doubted(&zone, doubt) {
                readmit(&dispatcher, &board, &zone);
            }
        });
    }

    /// The rate limits and warm-up times of cold servers, by service.
    fn cold_policies(&self, table: &RouteTable) -> HashMap<Arc<str>, ColdPolicy> {
        let gateway = self.board.settings.gateway.as_ref();
        let (overage, slack) = gateway.map_or((1.0, 0.0), |one| (one.cold_overage, one.cold_slack));
        let policy = |service: &ServiceConfig| ColdPolicy {
            limit: service.cold_per_s.map(|per_s| ColdLimit {
                per_s,
                overage_factor: overage,
                slack_requests: slack,
            }),
            warmup_us: u64::try_from(service.warmup().as_micros()).unwrap_or(0),
        };
        table.services.iter().map(|(name, service)| (Arc::clone(name), policy(service))).collect()
    }

    /// Parses a version of the configuration and puts it into use if it is the newest.
    fn apply_config(&self, item: &Item) {
        let previous = self.table.load_full();
        let parsed = match self.dialect.decode_config(&item.value, previous.as_deref()) {
            Ok(parsed) => parsed,
            Err(why) => {
                error!(
                    event = "config-unreadable", code = Code::ConfigUnreadable.number(),
                    revision = item.revision.number, why = why.as_str();
                    "{}", Code::ConfigUnreadable
                );
                self.age.set_outdated(true);
                return;
            }
        };
        self.age.set_outdated(false);
        // A late answer must not restore an older version.
        let previous = previous.map(|table| table.version);
        if previous.is_some_and(|previous| previous >= parsed.table.version) {
            return;
        }
        log_faults(&parsed.faults, parsed.table.version);
        info!(
            event = "config-in-force", version = parsed.table.version,
            before = previous.unwrap_or(0), routes = parsed.table.route_count(),
            workspaces = parsed.table.workspaces.as_ref().map(WorkspaceTable::len),
            faults = parsed.faults.len(), revision = item.revision.number;
            "configuration changed"
        );
        self.dispatcher.set_cold_policies(self.cold_policies(&parsed.table));
        self.table.store(Some(Arc::new(parsed.table)));
        self.board.counters.add(Counter::ConfigMerged);
    }
}

impl<D: Dialect> Sink for OperatorSink<D> {
    fn is_outdated(&self, item: &Item) -> bool {
        let known = self.table.load();
        let Some(known) = known.as_ref().filter(|_| item.key == self.dialect.store_keys().config)
        else {
            return false;
        };
        let parsed = self.dialect.decode_config(&item.value, Some(known));
        parsed.is_ok_and(|parsed| parsed.table.version < known.version)
    }

    fn redact(&self, item: &mut Item) {
        if item.key == self.dialect.store_keys().config {
            item.value = self.dialect.redact_config(std::mem::take(&mut item.value));
        } else {
            // Only the existence of other keys matters.
            item.value.clear();
        }
    }

    fn written(&mut self, item: &Item) {
        if item.key == self.dialect.store_keys().config {
            self.apply_config(item);
        } else if let Some(zone) = self.evacuated_zone(&item.key) {
            self.evacuate(zone, item.revision.number);
        }
    }

    fn removed(&mut self, key: &str, grace: Duration) {
        match self.evacuated_zone(key) {
            Some(zone) if grace.is_zero() => readmit(&self.dispatcher, &self.board, zone),
            Some(zone) => self.readmit_unless_repeated(zone, grace),
            None => info!(event = "config-removed", key = key; "the last version stays in use"),
        }
    }
}

/// Ends the evacuation of a zone.
fn readmit(dispatcher: &Dispatcher, board: &Blackboard, zone: &str) {
    let Some(change) = dispatcher.readmit(zone) else {
        return;
    };
    info!(
        event = "zone-readmitted", zone = zone, servers = change.servers,
        lasted_ms = change.lasted_us / 1000;
        "its servers are used again"
    );
    board.set_evacuated_zones(dispatcher.evacuated_zones());
}

/// Passes backend servers to the dispatcher.
#[derive(Debug)]
pub struct ServerSink<D> {
    pub dialect: D,
    pub dispatcher: Dispatcher,
    /// By id.
    unreadable: UnreadableEntries,
    /// `None` outside a batch.
    batch: Option<Batch>,
}

/// The current batch and the numbers of its changes.
#[derive(Clone, Copy, Debug, Default)]
struct Batch {
    /// Whether it is the content of a restored store.
    restored: bool,
    listed: usize,
    unlisted: usize,
}

impl Batch {
    /// Whether the latest change is still logged individually.
    const fn logs_each(self) -> bool {
        self.listed + self.unlisted <= BATCH_LINES_MAX
    }
}

impl<D: Dialect> ServerSink<D> {
    /// Creates a sink that lists servers in `dispatcher`.
    #[must_use]
    pub fn new(dialect: D, dispatcher: Dispatcher) -> Self {
        Self { dialect, dispatcher, unreadable: UnreadableEntries::default(), batch: None }
    }

    /// Decodes and validates the entry of a server.
    fn decode(&self, id: &str, value: &[u8]) -> Result<ServerRow, String> {
        if value == OVERSIZED_VALUE.as_bytes() {
            return Err(OVERSIZED_VALUE.into());
        }
        let row = self.dialect.decode_server(id, value)?;
        row.validate()?;
        Ok(row)
    }

    /// Logs an unreadable entry and removes the server that was listed under its id. Other entries
    /// are not affected. The entry may come from a writer that is not a server.
    fn reject(&mut self, id: &str, why: &str, revision: u64) {
        self.dispatcher.unlist_server(id, Duration::ZERO);
        if self.unreadable.record(id, why) {
            error!(
                event = "server-unreadable", code = Code::ServerUnreadable.number(), server = id,
                revision = revision, why = why;
                "{}", Code::ServerUnreadable
            );
        }
    }

    /// Counts a change; returns whether it is logged individually.
    fn count_change(&mut self, listed: usize, unlisted: usize) -> bool {
        self.batch.as_mut().is_none_or(|batch| {
            batch.listed += listed;
            batch.unlisted += unlisted;
            batch.logs_each()
        })
    }
}

impl<D: Dialect> Sink for ServerSink<D> {
    fn redact(&self, item: &mut Item) {
        if item.value.len() > ENTRY_MAX_BYTES {
            item.value = OVERSIZED_VALUE.into();
        }
    }

    fn written(&mut self, item: &Item) {
        let id =
            item.key.strip_prefix(self.dialect.store_keys().servers_prefix).unwrap_or(&item.key);
        let row = match self.decode(id, &item.value) {
            Ok(row) => row,
            Err(why) => return self.reject(id, &why, item.revision.number),
        };
        self.unreadable.remove(id);
        if self.count_change(1, 0) {
            info!(
                event = "server-listed", server = id, service = &*row.service,
                address = row.address.to_string().as_str(), zone = &*row.zone,
                draining = row.is_draining(), warmup_ms = row.warmup_ms, started_ms = row.started_ms,
                revision = item.revision.number;
                ""
            );
        }
        if self.batch.is_some_and(|batch| batch.restored) {
            self.dispatcher.list_restored_server(row);
        } else {
            self.dispatcher.list_server(row);
        }
    }

    fn removed(&mut self, key: &str, grace: Duration) {
        let id = key.strip_prefix(self.dialect.store_keys().servers_prefix).unwrap_or(key);
        self.unreadable.remove(id);
        if self.count_change(0, 1) {
            info!(event = "server-unlisted", server = id, grace_ms = grace.as_millis(); "");
        }
        self.dispatcher.unlist_server(id, grace);
    }

    fn sample_keys(&self, zone: u64) -> Vec<String> {
        let prefix = self.dialect.store_keys().servers_prefix;
        let ids = self.dispatcher.sample(zone);
        ids.iter().map(|id| format!("{prefix}{id}")).collect()
    }

    fn begin_batch(&mut self, restored: bool) {
        self.batch = Some(Batch { restored, ..Batch::default() });
    }

    fn end_batch(&mut self, revision: Revision) {
        let batch = self.batch.take().unwrap_or_default();
        if !batch.logs_each() {
            info!(
                event = "servers-changed", listed = batch.listed,
                unlisted = batch.unlisted, revision = revision.number;
                "summary of a large batch of changes"
            );
        }
    }
}
