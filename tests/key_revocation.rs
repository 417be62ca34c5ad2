//! Revoked API keys: no instance, connected or not, accepts one for longer than the configured
//! bound.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sorrelwick::store::Revision;
use standins::routed::FleetSize;
use standins::routed::InstanceFault;
use standins::routed::MemoryEventStore;
use standins::routed::RelayFleet;
use standins::routed::StoreFault;
use standins::routed::random_faults;
use tokio::time::Instant;

const REVOCATION_BOUND: Duration = Duration::from_secs(5);
const SMALL: FleetSize = FleetSize { key_revocation_ms: Some(5_000), ..FleetSize::SMALL };
const LARGE: FleetSize = FleetSize { key_revocation_ms: Some(5_000), ..FleetSize::LARGE };
/// Number of seeds; `SORRELWICK_SCHEDULES` overrides it.
const DEFAULT_SEED_COUNT: u64 = 30;
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the fleet to reach its steady state.
const SETTLE: Duration = Duration::from_secs(3);
const SCHEDULE_LENGTH: Duration = Duration::from_secs(25);

/// Revisions of the configuration, with the times at which the store acknowledged them.
#[derive(Debug, Default)]
struct Versions(Vec<(Revision, Instant)>);

impl Versions {
    fn write(&mut self, store: &MemoryEventStore) {
        store.put("config", "another");
        self.0.push((store.revision(), Instant::now()));
    }

    /// Oldest revision that an instance which accepts keys may have at `now`.
    fn required_revision(&self, now: Instant) -> Revision {
        let overdue = self.0.iter().filter(|(_, at)| now.duration_since(*at) > REVOCATION_BOUND);
        overdue.map(|(revision, _)| *revision).max().unwrap_or_default()
    }
}

/// Whether an instance may accept keys: its proof that its configuration is current is not older
/// than the bound.
fn may_accept_keys(fleet: &RelayFleet, at: usize) -> bool {
    fleet.net.mirrors[at].proof_age().is_some_and(|age| age <= REVOCATION_BOUND)
}

fn apply_losses(fleet: &RelayFleet, lost: &[InstanceFault]) {
    fleet.net.faults.lock().clone_from_slice(lost);
    for (view, loss) in fleet.store_clients.iter().zip(lost) {
        view.set_fault(match loss {
            InstanceFault::Store(fault) => *fault,
            InstanceFault::Isolated => StoreFault::Silent,
            _ => StoreFault::None,
        });
    }
}

/// Draws random losses, an outage of the store, or instances that reach neither the store nor each
/// other.
fn losses_or_outage(rng: &mut Pcg64) -> Vec<InstanceFault> {
    let outages = [StoreFault::Busy, StoreFault::Silent, StoreFault::Hung];
    match rng.random_range(0..4) {
        0 => vec![InstanceFault::Store(outages[rng.random_range(0..3)]); SMALL.instances],
        1 => {
            let cut = |_| {
                if rng.random_bool(0.4) { InstanceFault::Isolated } else { InstanceFault::None }
            };
            (0..SMALL.instances).map(cut).collect()
        }
        _ => random_faults(SMALL, rng),
    }
}

/// Calls to the store at full cost, i.e. without stale reads and reachability checks, which cost a
/// tenth.
fn full_cost_calls(fleet: &RelayFleet) -> u64 {
    fleet.store_clients.iter().map(|view| view.calls() - view.cheap_calls()).sum()
}

/// Changes the configuration under one random set of losses after the other. Returns how many
/// checks met an instance that may accept keys, and how many one that may not.
async fn run_schedule(seed: u64) -> (u64, u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let store = MemoryEventStore::default();
    let mut versions = Versions::default();
    versions.write(&store);
    let fleet = RelayFleet::start(&store, SMALL);
    tokio::time::sleep(SETTLE).await;
    let began = Instant::now();
    let (mut next_loss, mut next_version) = (began, began);
    let (mut accepting, mut not_accepting) = (0, 0);
    while began.elapsed() < SCHEDULE_LENGTH {
        let now = Instant::now();
        if now >= next_loss {
            apply_losses(&fleet, &losses_or_outage(&mut rng));
            next_loss = now + Duration::from_millis(rng.random_range(500..8_000));
        }
        if now >= next_version {
            versions.write(&store);
            next_version = now + Duration::from_millis(rng.random_range(200..3_000));
        }
        let required = versions.required_revision(now);
        for (at, sink) in fleet.sinks.iter().enumerate() {
            if !may_accept_keys(&fleet, at) {
                not_accepting += 1;
                continue;
            }
            accepting += 1;
            let known = sink.0.lock().map_or_else(Revision::default, |(revision, _)| revision);
            assert!(
                known >= required,
                "seed {seed}: instance {at} has revision {known:?}, must have {required:?}"
            );
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    (accepting, not_accepting)
}

/// Guards against a revoked key being accepted by an instance that is partitioned, rejected by the
/// store, or connected only to such instances.
#[tokio::test(start_paused = true)]
async fn no_instance_accepts_revoked_keys_beyond_the_bound() {
    let given = std::env::var("SORRELWICK_SCHEDULES").ok();
    let seeds = given.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED_COUNT);
    let (mut accepting, mut not_accepting) = (0, 0);
    for seed in 0..seeds {
        let (accepted, not_accepted) = run_schedule(seed).await;
        accepting += accepted;
        not_accepting += not_accepted;
    }
    println!("{accepting} checks of instances that may accept keys, {not_accepting} of others");
    assert!(not_accepting > 0, "the schedules have too few faults to show anything");
    assert!(accepting > not_accepting, "{accepting}, {not_accepting}");
}

/// Guards against taking a watch whose connection went silent as proof that nothing changed.
#[tokio::test(start_paused = true)]
async fn hung_watch_does_not_refresh_the_proof() {
    let store = MemoryEventStore::default();
    store.put("config", "1");
    let fleet = RelayFleet::start(&store, SMALL);
    tokio::time::sleep(SETTLE).await;
    assert!((0..SMALL.instances).all(|at| may_accept_keys(&fleet, at)));
    apply_losses(&fleet, &vec![InstanceFault::Store(StoreFault::Hung); SMALL.instances]);
    tokio::time::sleep(REVOCATION_BOUND).await;
    let accepting = (0..SMALL.instances).filter(|at| may_accept_keys(&fleet, *at)).count();
    assert_eq!(accepting, 0);
}

/// Guards against rejecting keys when nothing fails, and against proofs whose cost grows with the
/// fleet.
#[tokio::test(start_paused = true)]
async fn proof_calls_do_not_grow_with_fleet_size_without_faults() {
    const CALM: Duration = Duration::from_secs(10);
    let mut calls = Vec::new();
    for size in [SMALL, FleetSize { zones: 3, ..LARGE }, LARGE] {
        let store = MemoryEventStore::default();
        store.put("config", "1");
        let fleet = RelayFleet::start(&store, size);
        tokio::time::sleep(SETTLE).await;
        let (before, began) = (full_cost_calls(&fleet), Instant::now());
        let mut oldest = Duration::ZERO;
        while began.elapsed() < CALM {
            let ages = fleet.net.mirrors.iter().map(|mirror| mirror.proof_age().expect("a proof"));
            oldest = oldest.max(ages.max().expect("instances"));
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        calls.push(full_cost_calls(&fleet) - before);
        println!("{size:?}: {} calls, proofs of {oldest:?} at most", calls[calls.len() - 1]);
        assert!(oldest < REVOCATION_BOUND / 2, "{size:?}: {oldest:?}");
    }
    // One watch per zone every 4 s, and one proof for all every 0.8 s.
    assert!(calls[1] <= calls[0] + 2, "{calls:?}");
    assert!(calls[2] <= 13 + 3 * 5, "{calls:?}");
}
