//! The state behind a binder: servers, their loads, and who waits.

use std::collections::VecDeque;
use std::sync::Arc;

use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::Upstream;
use super::slot::Offer;
use crate::clock::now_us;
use crate::decide::ServerLoad;
use crate::decide::ServerScope;
use crate::decide::SlotPool;
use crate::model::BackendServer;
use crate::model::Preference;

/// Why a backend server takes no new work; each reason is set and lifted on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The operator's drain mark.
    Drained,
    /// The server said so itself, or a peer heard it say so.
    SelfReported,
    /// The platform's list says so.
    PlatformReported,
    /// It is not declared any more.
    Removed,
}

impl CloseReason {
    pub(super) const fn bit(self) -> u8 {
        1 << (self as u8)
    }
}

/// One row, in step with the pool's.
#[derive(Debug)]
pub(super) struct ServerRow {
    pub upstream: Arc<Upstream>,
    /// Set of [`CloseReason`]s.
    pub close_reasons: u8,
}

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiter {
    pub reach: ServerScope,
    pub avoid: SmallVec<[usize; 4]>,
    pub sender: oneshot::Sender<Offer>,
}

/// Everything that one lock covers.
#[derive(Debug)]
pub(super) struct SlotQueueState {
    pub pool: SlotPool,
    /// In the order of the pool's rows; a row keeps its position while requests are in flight.
    pub servers: Vec<ServerRow>,
    pub waiting: VecDeque<Waiter>,
    pub queue_max: usize,
    pub preference: Preference,
}

impl SlotQueueState {
    /// The row of a declared server: its own, a new one, or one that nobody uses any more.
    pub fn find_or_add_server(
        &mut self,
        server: &BackendServer,
        initial: bool,
        now_us: u64,
    ) -> usize {
        let same = |row: &ServerRow| {
            row.upstream.id == server.id && row.upstream.address == server.address
        };
        if let Some(at) = self.servers.iter().position(same) {
            return at;
        }
        let upstream = Arc::new(Upstream::new(&server.id, server.address, 1));
        let row = ServerRow { upstream, close_reasons: 0 };
        // With the whole service new there is no older server to spare the new ones.
        let load = if initial {
            ServerLoad::warm(server.slots)
        } else {
            ServerLoad::cold(server.slots, now_us)
        };
        let removed = CloseReason::Removed.bit();
        let unused = (0..self.servers.len()).find(|&at| {
            self.servers[at].close_reasons & removed != 0 && self.pool.loads()[at].in_flight == 0
        });
        if let Some(at) = unused {
            self.servers[at] = row;
            self.pool.loads_mut()[at] = load;
            return at;
        }
        self.servers.push(row);
        self.pool.loads_mut().push(load);
        self.servers.len() - 1
    }

    /// A server that takes work again starts with a ramp.
    pub fn set_close_reason(&mut self, at: usize, reason: CloseReason, closed: bool) -> bool {
        let before = self.servers[at].close_reasons;
        let after = if closed { before | reason.bit() } else { before & !reason.bit() };
        self.servers[at].close_reasons = after;
        let load = &mut self.pool.loads_mut()[at];
        if before != 0 && after == 0 {
            load.restart_ramp_up(now_us());
        }
        load.closed = after != 0;
        before != after
    }
}
