//! The time line of one process.

use std::collections::VecDeque;

use parking_lot::Mutex;

use crate::clock::HybridClock;

const EVENTS_MAX: usize = 4_096;

/// A change of state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    Started,
    Stopping,
    HandedOver {
        rows: usize,
        to: u64,
    },
    Adopted {
        rows: usize,
        from: u64,
    },
    Member {
        name: String,
        incarnation: u64,
        state: &'static str,
    },
    /// Many members changed at once, of which `dead` were given up; `known` is how many there were.
    Members {
        changed: usize,
        dead: usize,
        known: usize,
    },
    ConfigInForce {
        service: String,
        revision: u64,
    },
    ServerLeaving {
        service: String,
        server: String,
    },
    ServerBack {
        service: String,
        server: String,
    },
    ShardTaken {
        shard: u32,
    },
    ShardLost {
        shard: u32,
    },
    StoreLost {
        why: String,
    },
    StoreBack,
}

impl EventKind {
    /// A backend server was seen leaving, or seen back.
    #[must_use]
    pub fn server_leaving_changed(service: &str, server: &str, leaving: bool) -> Self {
        let (service, server) = (service.to_owned(), server.to_owned());
        if leaving {
            Self::ServerLeaving { service, server }
        } else {
            Self::ServerBack { service, server }
        }
    }

    /// The kind's name and its detail, as operators read them.
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
            Self::ConfigInForce { service, revision } => {
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
        }
    }
}

/// An event with its stamp.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Of the hybrid logical clock.
    pub stamp: u64,
    pub kind: EventKind,
}

/// The last events of this process; older ones are dropped.
#[derive(Debug, Default)]
pub struct EventRing {
    pub clock: HybridClock,
    events: Mutex<VecDeque<Event>>,
}

impl EventRing {
    /// Records an event now.
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
