//! What this instance knows about its paths to the backend servers.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::CheckResult;
use super::ReachEvidence;
use super::ReachTracker;
use crate::clock::now_us;

/// Services without a path to their servers, of which other instances still have one.
type LostServices = Arc<[Arc<str>]>;

/// Evidence by service, and the services whose servers this instance has lost. Written by sends,
/// health checks and the [`ReachMonitor`](super::ReachMonitor), read by the request path.
#[derive(Debug)]
pub struct ServerReach {
    trackers: Mutex<HashMap<Arc<str>, ReachTracker>>,
    lost: watch::Sender<LostServices>,
    doubted: Notify,
}

impl Default for ServerReach {
    fn default() -> Self {
        Self {
            trackers: Mutex::default(),
            lost: watch::Sender::new(Arc::default()),
            doubted: Notify::new(),
        }
    }
}

impl ServerReach {
    /// Adds evidence on one of the `servers` servers of a service.
    pub fn record(&self, service: &Arc<str>, server: u32, evidence: ReachEvidence, servers: usize) {
        let mut trackers = self.trackers.lock();
        let tracker = trackers.entry(Arc::clone(service)).or_default();
        tracker.record(server, evidence, servers, now_us());
        let failed = matches!(evidence, ReachEvidence::ConnectFailed | ReachEvidence::NoResponse);
        if failed && tracker.in_doubt(now_us()) {
            self.doubted.notify_one();
        }
    }

    /// The services whose paths are in doubt, with the evidence.
    #[must_use]
    pub fn in_doubt(&self) -> Vec<(Arc<str>, CheckResult)> {
        let mut trackers = self.trackers.lock();
        let doubted = trackers.iter_mut().filter_map(|(service, tracker)| {
            tracker.in_doubt(now_us()).then(|| (Arc::clone(service), tracker.counts(now_us())))
        });
        doubted.collect()
    }

    /// Waits until the paths to a service's servers are in doubt.
    pub async fn wait_for_doubt(&self) {
        self.doubted.notified().await;
    }

    /// Whether a server of the service responded within the last `age_us` microseconds.
    #[must_use]
    pub fn responded_within(&self, service: &str, age_us: u64) -> bool {
        let trackers = self.trackers.lock();
        let responded_at_us = trackers.get(service).map_or(0, ReachTracker::responded_at_us);
        responded_at_us > 0 && now_us().saturating_sub(responded_at_us) <= age_us
    }

    /// Whether this instance has lost the servers of a service, while others reach them.
    #[must_use]
    pub fn is_lost(&self, service: &str) -> bool {
        self.lost.borrow().iter().any(|lost| **lost == *service)
    }

    /// The services whose servers are lost.
    #[must_use]
    pub fn lost(&self) -> LostServices {
        Arc::clone(&self.lost.borrow())
    }

    /// Replaces the services whose servers are lost.
    pub fn set_lost(&self, services: Vec<Arc<str>>) {
        let services: LostServices = services.into();
        self.lost.send_if_modified(|lost| {
            let changed = *lost != services;
            *lost = services;
            changed
        });
    }

    /// Waits until the servers of a service are lost.
    pub async fn wait_until_lost(&self, service: &str) {
        let mut lost = self.lost.subscribe();
        let is_lost = |lost: &LostServices| lost.iter().any(|lost| **lost == *service);
        // The sender lives as long as `self`.
        let _ = lost.wait_for(is_lost).await;
    }
}
