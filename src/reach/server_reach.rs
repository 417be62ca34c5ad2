//! What this instance knows about its paths to the backend servers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

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
    /// Whether a request waits for a round of checks.
    check_requested: AtomicBool,
    /// Whether a round of checks is under way.
    checking: AtomicBool,
    /// End of the last round of checks, in microseconds; 0 before the first.
    checked_at_us: watch::Sender<u64>,
}

impl Default for ServerReach {
    fn default() -> Self {
        Self {
            trackers: Mutex::default(),
            lost: watch::Sender::new(Arc::default()),
            doubted: Notify::new(),
            check_requested: AtomicBool::new(false),
            checking: AtomicBool::new(false),
            checked_at_us: watch::Sender::new(0),
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
        let now_us = now_us();
        let suspicious = failed
            && (tracker.failed_in_silence(now_us) || tracker.doubt_since_us(now_us).is_some());
        if suspicious {
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

    /// Whether a server of any service failed and none of it has responded since.
    #[must_use]
    pub fn failed_in_silence(&self) -> bool {
        let mut trackers = self.trackers.lock();
        trackers.values_mut().any(|tracker| tracker.failed_in_silence(now_us()))
    }

    /// Waits for a failure that may mean that the paths to a service's servers are lost.
    pub async fn wait_for_doubt(&self) {
        self.doubted.notified().await;
    }

    /// Waits until a request waits for a round of checks.
    pub async fn wait_for_check_request(&self) {
        while !self.check_requested.load(Ordering::Acquire) {
            self.doubted.notified().await;
        }
    }

    /// Whether a request waits for a round of checks; resets that.
    pub fn take_check_request(&self) -> bool {
        self.check_requested.swap(false, Ordering::AcqRel)
    }

    /// Records the start of a round of checks.
    pub fn record_checking(&self) {
        self.checking.store(true, Ordering::Release);
    }

    /// Records the end of a round of checks.
    pub fn record_checked(&self) {
        self.checking.store(false, Ordering::Release);
        self.checked_at_us.send_replace(now_us());
    }

    /// Whether the servers of a service are lost, for a request that found none: if that is in doubt
    /// and was not checked within the last `fresh_us` microseconds, waits for a round of checks, at
    /// most for `timeout`.
    pub async fn check_lost(&self, service: &str, fresh_us: u64, timeout: Duration) -> bool {
        if self.is_lost(service) {
            return true;
        }
        let mut checked = self.checked_at_us.subscribe();
        let checked_at_us = *checked.borrow_and_update();
        let is_fresh = checked_at_us > 0 && now_us().saturating_sub(checked_at_us) <= fresh_us;
        if !self.checking.load(Ordering::Acquire) {
            if is_fresh || !self.may_be_lost(service) {
                return false;
            }
            self.check_requested.store(true, Ordering::Release);
            self.doubted.notify_one();
        }
        // Without a result in time the request is answered by what is known.
        let _ = tokio::time::timeout(timeout, checked.changed()).await;
        self.is_lost(service)
    }

    fn may_be_lost(&self, service: &str) -> bool {
        let mut trackers = self.trackers.lock();
        let tracker = trackers.get_mut(service);
        tracker.is_some_and(|tracker| tracker.doubt_since_us(now_us()).is_some())
    }

    /// Whether a server of the service has responded since a time.
    #[must_use]
    pub fn responded_since(&self, service: &str, since_us: u64) -> bool {
        let trackers = self.trackers.lock();
        trackers.get(service).is_some_and(|tracker| tracker.responded_at_us() > since_us)
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
