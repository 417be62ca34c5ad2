//! The state of a slot queue: backend servers, their loads, and the waiting requests.

use std::collections::VecDeque;
use std::sync::Arc;

use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::Upstream;
use super::slot::Offer;
use crate::clock::now_us;
use crate::decide::QueueAge;
use crate::decide::ServerLoad;
use crate::decide::ServerScope;
use crate::decide::SlotPool;
use crate::model::BackendServer;
use crate::model::Preference;

/// Why a backend server gets no new requests. Each reason is set and cleared independently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// An operator drained it.
    Drained,
    /// The server announced that it is leaving, or its health check reported a failure, to this
    /// instance or to a peer.
    SelfReported,
    /// The platform lists it as leaving.
    PlatformReported,
    /// It is no longer declared.
    Removed,
}

impl CloseReason {
    pub(super) const fn bit(self) -> u8 {
        1 << (self as u8)
    }
}

/// One backend server; its load is the row of the pool with the same index.
#[derive(Debug)]
pub(super) struct ServerRow {
    pub upstream: Arc<Upstream>,
    /// Bit set of [`CloseReason`]s.
    pub close_reasons: u8,
}

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiter {
    /// The servers whose slots it may get.
    pub scope: ServerScope,
    /// Indices of the servers that earlier attempts of the request used.
    pub tried: SmallVec<[usize; 4]>,
    pub sender: oneshot::Sender<Offer>,
}

/// Everything that the lock of a slot queue protects.
#[derive(Debug)]
pub(super) struct SlotQueueState {
    pub pool: SlotPool,
    /// In the order of the pool's rows. A row keeps its index while it has requests in flight.
    pub servers: Vec<ServerRow>,
    /// The longest waiting request is first.
    pub waiting: VecDeque<Waiter>,
    pub age: QueueAge,
    /// Most requests that may wait.
    pub queue_max: usize,
    pub preference: Preference,
}

impl SlotQueueState {
    /// The index of the row of a declared server: its present row, that of a removed server
    /// without requests in flight, or a new one.
    pub fn find_or_add_server(
        &mut self,
        server: &BackendServer,
        initial: bool,
        now_us: u64,
    ) -> usize {
        let same = |row: &ServerRow| {
            row.upstream.id == server.id && row.upstream.address == server.address
        };
        if let Some(index) = self.servers.iter().position(same) {
            return index;
        }
        let upstream = Arc::new(Upstream::new(&server.id, server.address, 1));
        let row = ServerRow { upstream, close_reasons: 0 };
        // If the whole service is new, no older server can take the load during a ramp-up.
        let load = if initial {
            ServerLoad::warm(server.slots)
        } else {
            ServerLoad::cold(server.slots, now_us)
        };
        let removed = CloseReason::Removed.bit();
        let unused = (0..self.servers.len()).find(|&index| {
            self.servers[index].close_reasons & removed != 0
                && self.pool.loads()[index].in_flight == 0
        });
        if let Some(index) = unused {
            self.servers[index] = row;
            self.pool.loads_mut()[index] = load;
            return index;
        }
        self.servers.push(row);
        self.pool.loads_mut().push(load);
        self.servers.len() - 1
    }

    /// Sets or clears one close reason; returns whether that changed anything. A server that is
    /// reopened restarts its ramp-up.
    pub fn set_close_reason(&mut self, index: usize, reason: CloseReason, closed: bool) -> bool {
        let before = self.servers[index].close_reasons;
        let after = if closed { before | reason.bit() } else { before & !reason.bit() };
        self.servers[index].close_reasons = after;
        let load = &mut self.pool.loads_mut()[index];
        if before != 0 && after == 0 {
            load.restart_ramp_up(now_us());
        }
        load.closed = after != 0;
        before != after
    }
}
