//! The recent events of one process.

use std::collections::VecDeque;

use parking_lot::Mutex;

use crate::clock::HybridClock;

/// Number of events kept.
const EVENTS_MAX: usize = 4_096;

/// An event: a change of state worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    Started,
    Stopping,
    /// This instance handed its recorded outcomes over to another.
    HandedOver {
        rows: usize,
        to: u64,
    },
    /// This instance took over the recorded outcomes of another.
    Adopted {
        rows: usize,
        from: u64,
    },
    /// A member changed its state.
    Member {
        name: String,
        incarnation: u64,
        state: &'static str,
    },
    /// Many members changed at once. `dead` of them were declared dead; `known` members were in the
    /// table before.
    Members {
        changed: usize,
        dead: usize,
        known: usize,
    },
    /// A service's configuration became active.
    ConfigApplied {
        service: String,
        revision: u64,
    },
    /// A backend server began to drain.
    ServerLeaving {
        service: String,
        server: String,
    },
    /// A draining backend server returned.
    ServerBack {
        service: String,
        server: String,
    },
    /// This instance acquired a shard's lease.
    ShardTaken {
        shard: u32,
    },
    /// This instance lost a shard's lease.
    ShardLost {
        shard: u32,
    },
    /// The platform's store stopped answering.
    StoreLost {
        why: String,
    },
    /// The platform's store answers again.
    StoreBack,
    /// The platform's store came back from an earlier copy.
    StoreRestored {
        before: u64,
        era: u64,
    },
}

impl EventKind {
    /// The event that a backend server began to drain (`leaving`) or returned.
    #[must_use]
    pub fn server_leaving_changed(service: &str, server: &str, leaving: bool) -> Self {
        let (service, server) = (service.to_owned(), server.to_owned());
        if leaving {
            Self::ServerLeaving { service, server }
        } else {
            Self::ServerBack { service, server }
        }
    }

    /// The event's name and detail, as logged.
    #[must_use]
    pub fn name_and_detail(&self) -> (&'static str, String) {
        match self {
            Self::Started => ("started", String::new()),
            Self::Stopping => ("stopping", String::new()),
            Self::HandedOver { rows, to } => ("handed-over", format!("{rows} rows to {to:016x}")),
            Self::Adopted { rows, from } => ("adopted", format!("{rows} rows of {from:016x}")),
            Self::Member { name, incarnation, state } => {
                ("member", format!("{name} {incarnation:016x} {state}"))
            }
            Self::Members { changed, dead, known } => {
                ("members", format!("{changed} changed, {dead} of them dead, {known} known before"))
            }
            Self::ConfigApplied { service, revision } => {
                ("config-in-force", format!("{service} revision {revision}"))
            }
            Self::ServerLeaving { service, server } => {
                ("server-leaving", format!("{service} {server}"))
            }
            Self::ServerBack { service, server } => ("server-back", format!("{service} {server}")),
            Self::ShardTaken { shard } => ("shard-taken", shard.to_string()),
            Self::ShardLost { shard } => ("shard-lost", shard.to_string()),
            Self::StoreLost { why } => ("store-lost", why.clone()),
            Self::StoreBack => ("store-back", String::new()),
            Self::StoreRestored { before, era } => {
                ("store-restored", format!("era {era} after {before}"))
            }
        }
    }
}

/// An event with its timestamp.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Timestamp of the hybrid logical clock.
    pub stamp: u64,
    pub kind: EventKind,
}

/// The last [`EVENTS_MAX`] events of this process.
#[derive(Debug, Default)]
pub struct EventRing {
    pub clock: HybridClock,
    events: Mutex<VecDeque<Event>>,
}

impl EventRing {
    /// Records an event with the current timestamp.
    pub fn push(&self, kind: EventKind) {
        let stamp = self.clock.stamp();
        let mut events = self.events.lock();
        if events.len() == EVENTS_MAX {
            events.pop_front();
        }
        events.push_back(Event { stamp, kind });
    }

    /// The events after `stamp`, oldest first.
    #[must_use]
    pub fn after(&self, stamp: u64) -> Vec<Event> {
        let events = self.events.lock();
        events.iter().filter(|event| event.stamp > stamp).cloned().collect()
    }
}
