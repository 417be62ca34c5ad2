//! Puts what the platform's store says in force.

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
use super::mirror::Sink;
use super::mirror_age::MirrorAge;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::cold::ColdLimit;
use crate::cold::ColdRule;
use crate::errors::Code;
use crate::model::ServerRow;
use crate::store::Item;
use crate::workspace::WorkspaceTable;

/// Entries that cannot be read and are remembered as logged; beyond that some are logged again.
const UNREADABLE_LOGGED_MAX: usize = 1_000;
/// Changes that come together and have a line each. At a start each of hundreds of instances hears of
/// hundreds of servers, where one line with their number and revision tells as much.
const BATCH_LINES_MAX: usize = 8;

/// Puts what the operators write in force: versions of the configuration, and evacuations.
#[derive(Debug)]
pub struct OperatorSink<D> {
    pub dialect: D,
    pub table: CurrentRouteTable,
    pub board: Arc<Blackboard>,
    pub dispatcher: Dispatcher,
    /// Of the copy that this is told from.
    pub age: Arc<MirrorAge>,
}

/// One line for each part of a configuration that could not be read.
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
    /// The zone that a key evacuates.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.dialect.store_keys().evacuations_prefix)
    }

    /// The key alone is the operators' word; what its value may come to say does not take it back.
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
            "nothing more is sent there"
        );
        self.board.set_evacuated_zones(self.dispatcher.evacuated_zones());
    }

    fn readmit(&self, zone: &str) {
        let Some(change) = self.dispatcher.readmit(zone) else {
            return;
        };
        info!(
            event = "zone-readmitted", zone = zone, servers = change.servers,
            lasted_ms = change.lasted_us / 1000;
            "its servers are used again"
        );
        self.board.set_evacuated_zones(self.dispatcher.evacuated_zones());
    }

    /// What the operators say of each service's cold servers.
    fn cold_rules(&self, table: &RouteTable) -> HashMap<Arc<str>, ColdRule> {
        let bounds = self.board.settings.gateway.as_ref();
        let (overage, slack) = bounds.map_or((1.0, 0.0), |one| (one.cold_overage, one.cold_slack));
        let rule = |service: &ServiceConfig| ColdRule {
            limit: service.cold_per_s.map(|per_s| ColdLimit { per_s, overage, slack }),
            warmup_us: u64::try_from(service.warmup().as_micros()).unwrap_or(0),
        };
        table.services.iter().map(|(name, service)| (Arc::clone(name), rule(service))).collect()
    }

    fn apply_config(&self, item: &Item) {
        let before = self.table.load_full();
        let decode = match self.dialect.decode_config(&item.value, before.as_deref()) {
            Ok(read) => read,
            Err(why) => {
                error!(
                    event = "config-unreadable", code = Code::ConfigUnreadable.number(),
                    revision = item.revision, why = why.as_str();
                    "{}", Code::ConfigUnreadable
                );
                self.age.set_outdated(true);
                return;
            }
        };
        self.age.set_outdated(false);
        // A read that answers late must not take a newer version back.
        let before = before.map(|table| table.version);
        if before.is_some_and(|before| before >= decode.table.version) {
            return;
        }
        log_faults(&decode.faults, decode.table.version);
        info!(
            event = "config-in-force", version = decode.table.version, before = before.unwrap_or(0),
            routes = decode.table.route_count(),
            workspaces = decode.table.workspaces.as_ref().map(WorkspaceTable::len), faults = decode.faults.len(),
            revision = item.revision;
            "configuration changed"
        );
        self.dispatcher.set_cold_policies(self.cold_rules(&decode.table));
        self.table.store(Some(Arc::new(decode.table)));
        self.board.counters.add(Counter::ConfigMerged);
    }
}

impl<D: Dialect> Sink for OperatorSink<D> {
    fn redact(&self, item: &mut Item) {
        if item.key == self.dialect.store_keys().config {
            item.value = self.dialect.redact_config(std::mem::take(&mut item.value));
        }
    }

    fn written(&mut self, item: &Item) {
        if item.key == self.dialect.store_keys().config {
            self.apply_config(item);
        } else if let Some(zone) = self.evacuated_zone(&item.key) {
            self.evacuate(zone, item.revision);
        }
    }

    fn removed(&mut self, key: &str, _: Duration) {
        match self.evacuated_zone(key) {
            Some(zone) => self.readmit(zone),
            None => info!(event = "config-removed", key = key; "the last version stays in force"),
        }
    }
}

/// Lists backend servers.
#[derive(Debug)]
pub struct ServerSink<D> {
    pub dialect: D,
    pub dispatcher: Dispatcher,
    /// Why the entries that cannot be read now cannot be, by id: each is logged once, however often
    /// its writer repeats it.
    unreadable: HashMap<String, String>,
    /// While changes that came together are told.
    batch: Option<BatchCounts>,
}

/// How many changes came together so far.
#[derive(Clone, Copy, Debug, Default)]
struct BatchCounts {
    listed: usize,
    unlisted: usize,
}

impl BatchCounts {
    /// Whether the next change still has a line of its own.
    const fn logs_each(self) -> bool {
        self.listed + self.unlisted <= BATCH_LINES_MAX
    }
}

impl<D: Dialect> ServerSink<D> {
    /// A sink that lists servers at `dispatcher`.
    #[must_use]
    pub fn new(dialect: D, dispatcher: Dispatcher) -> Self {
        Self { dialect, dispatcher, unreadable: HashMap::new(), batch: None }
    }

    fn read(&self, id: &str, value: &[u8]) -> Result<ServerRow, String> {
        let row = self.dialect.decode_server(id, value)?;
        row.check()?;
        Ok(row)
    }

    /// An entry may come from a writer that is no server, and says nothing that can be used. It
    /// names no server, also where one stood under this key before; the other entries hold.
    fn reject(&mut self, id: &str, why: String, revision: u64) {
        self.dispatcher.unlist_server(id, Duration::ZERO);
        if self.unreadable.get(id) == Some(&why) {
            return;
        }
        error!(
            event = "server-unreadable", code = Code::ServerUnreadable.number(), server = id,
            revision = revision, why = why.as_str();
            "{}", Code::ServerUnreadable
        );
        if self.unreadable.len() >= UNREADABLE_LOGGED_MAX {
            self.unreadable.clear();
        }
        self.unreadable.insert(id.to_owned(), why);
    }

    /// Counts a change; tells whether it has a line of its own.
    fn count_change(&mut self, listed: usize, unlisted: usize) -> bool {
        self.batch.as_mut().is_none_or(|together| {
            together.listed += listed;
            together.unlisted += unlisted;
            together.logs_each()
        })
    }
}

impl<D: Dialect> Sink for ServerSink<D> {
    fn written(&mut self, item: &Item) {
        let id =
            item.key.strip_prefix(self.dialect.store_keys().servers_prefix).unwrap_or(&item.key);
        let row = match self.read(id, &item.value) {
            Ok(row) => row,
            Err(why) => return self.reject(id, why, item.revision),
        };
        self.unreadable.remove(id);
        if self.count_change(1, 0) {
            info!(
                event = "server-listed", server = id, service = &*row.service,
                address = row.address.to_string().as_str(), zone = &*row.zone,
                draining = row.draining(), warmup_ms = row.warmup_ms, started_ms = row.started_ms,
                revision = item.revision;
                ""
            );
        }
        self.dispatcher.list_server(row);
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

    fn begin_batch(&mut self) {
        self.batch = Some(BatchCounts::default());
    }

    fn end_batch(&mut self, revision: u64) {
        let together = self.batch.take().unwrap_or_default();
        if !together.logs_each() {
            info!(
                event = "servers-changed", listed = together.listed,
                unlisted = together.unlisted, revision = revision;
                "many at once"
            );
        }
    }
}
