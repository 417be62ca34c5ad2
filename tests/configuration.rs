//! Guarantee: an accepted configuration is active on all instances within seconds and is never
//! reverted.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sorrelwick::catalog::Catalog;
use sorrelwick::errors::Code;
use sorrelwick::model::VersionedService;
use sorrelwick::store::AnyStore;
use sorrelwick::store::Entry;
use sorrelwick::store::Store;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::bed::wait_until;
use uuid::Uuid;

mod common;

use common::property;

/// Guaranteed time until a change is active everywhere. Every wait below is far shorter, unless the
/// machine stalls.
const PROPAGATION_MAX: Duration = Duration::from_secs(16);

/// Merging matches a map that keeps the highest revision, whatever the order and repetition of
/// rows; the same rows merged in another order give the same digest.
#[test]
fn merging_matches_a_reference_map() {
    property(300, |u| {
        let mut catalog = Catalog::default();
        let mut reference: BTreeMap<String, u64> = BTreeMap::new();
        for _ in 0..u.int_in_range(1..=60)? {
            let name = format!("s{}", u.int_in_range(0..=5)?);
            let revision = u.int_in_range(1..=9)?;
            let row = VersionedService {
                revision,
                change_id: Uuid::nil(),
                service: None,
                earlier_changes: Vec::new(),
            };
            let known = reference.entry(name.clone()).or_insert(0);
            assert_eq!(catalog.merge(&name, row), revision > *known);
            *known = revision.max(*known);
        }
        let summary: Vec<(String, u64)> = reference.into_iter().collect();
        assert_eq!(catalog.summary(), summary);
        let mut other = Catalog::default();
        for (name, row) in catalog.all().into_iter().rev() {
            other.merge(&name, row);
        }
        assert_eq!(catalog.digest(), other.digest());
        assert!(catalog.rows_newer_than(&other.summary()).is_empty());
        assert!(catalog.stale_names(&other.summary()).is_empty());
        Ok(())
    });
}

/// Guards against an unnoticed overwrite: two operators change the same service at the same moment,
/// through two instances. Exactly one change is accepted and becomes active everywhere; the other
/// is a conflict.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_edits_one_wins_and_the_other_conflicts() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    let mut service = bed.create_service("orders").await;
    let mut revision = 1;
    for round in 0..10 {
        let (mut one, mut two) = (service.clone(), service.clone());
        one.timeout_ms = 1_000 + round;
        two.timeout_ms = 2_000 + round;
        let (first, second) =
            tokio::join!(bed.put_service(0, &one, revision), bed.put_service(1, &two, revision));
        let (accepted, refused, winner) = match (first, second) {
            (Ok(accepted), Err(refused)) => (accepted, refused, one),
            (Err(refused), Ok(accepted)) => (accepted, refused, two),
            other => panic!("exactly one must win: {other:?}"),
        };
        assert_eq!(refused.code, Code::Conflict);
        assert_eq!(accepted, revision + 1);
        bed.wait_until_applied("orders", accepted).await;
        for board in bed.boards() {
            let row = board.catalog.lock().get("orders").cloned().expect("in force");
            assert_eq!(row.service.as_ref(), Some(&winner));
        }
        (service, revision) = (winner, accepted);
    }
}

/// Guards against an accepted change that is reported as failed because the store's response was
/// lost; the operator would repeat it.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_with_a_lost_response_is_reported_as_accepted() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    let mut service = bed.create_service("orders").await;
    for round in 1..=5 {
        service.timeout_ms = 1_000 + round;
        // Other calls may lose their response instead, so each round loses two.
        bed.platform().switches.responses_to_drop.store(2, Ordering::Release);
        let committed = bed.put_service(0, &service, round.into()).await;
        assert_eq!(committed, Ok(u64::from(round) + 1));
    }
    let took = bed.wait_until_applied("orders", 6).await;
    assert!(took < PROPAGATION_MAX, "{took:?}");
}

/// The same without the command-line tool, which itself repeats a change whose outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_response_is_resolved_by_reading_back() {
    use sorrelwick::catalog::Committer;
    use sorrelwick::catalog::Edit;
    let bed = TestBed::start(TestBedPlan { instances: 1, ..TestBedPlan::default() }).await;
    let settings = &bed.boards()[0].settings;
    let committer = Committer::new(AnyStore::open(settings.platform.as_ref()));
    for expected in 0..5 {
        let service = bed.service("resolved");
        // The only other writes, which may lose their response instead, are those of the instance's
        // shard.
        bed.platform().switches.responses_to_drop.store(1, Ordering::Release);
        let edit = Edit::Put { service, expected };
        let row =
            committer.commit("resolved", &edit, Uuid::new_v4(), None).await.expect("resolved");
        assert_eq!(row.revision, expected + 1);
    }
    // A later change by another operator does not undo ours.
    let mine = Uuid::new_v4();
    let edit = Edit::Budget { per_s: 1 };
    committer.commit("resolved", &edit, mine, None).await.expect("accepted");
    committer
        .commit("resolved", &Edit::Budget { per_s: 2 }, Uuid::new_v4(), None)
        .await
        .expect("accepted");
    let again = committer
        .commit("resolved", &edit, mine, None)
        .await
        .expect("the change was committed before");
    assert_eq!((again.revision, again.service.map(|s| s.measuring_budget_per_s)), (7, Some(2)));
}

/// Guards against losing configuration while the store is down: the active configuration stays, a
/// change is refused rather than lost, and a new instance gets the configuration from its peers.
/// Changes are accepted again once the store is back, and no revision goes back meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_reverts_nothing_and_new_instances_sync_from_peers() {
    let mut bed = TestBed::start(TestBedPlan::default()).await;
    let mut service = bed.create_service("orders").await;
    service.timeout_ms = 1_234;
    bed.put_service(0, &service, 1).await.expect("accepted");
    bed.wait_until_applied("orders", 2).await;
    bed.stop_platform();
    let refused = bed.put_service(1, &service, 2).await.expect_err("the store is down");
    assert_eq!(refused.code, Code::StoreUnreachable);
    let seeds = bed.boards().iter().map(|board| board.settings.listen.peer).collect();
    bed.add_daemon_with(|settings| settings.peers.seeds = seeds).await;
    let took = bed.wait_until_applied("orders", 2).await;
    assert!(took < PROPAGATION_MAX, "{took:?}");
    bed.start_platform().await;
    service.timeout_ms = 4_321;
    wait_until("changes are accepted again", async || {
        bed.put_service(3, &service, 2).await.is_ok()
    })
    .await;
    let took = bed.wait_until_applied("orders", 3).await;
    assert!(took < PROPAGATION_MAX, "{took:?}");
}

/// Guards against a revision that goes down while changes are made and the store is slow, restarts
/// and loses responses. An observer per instance checks every revision it sees.
#[tokio::test(flavor = "multi_thread")]
async fn no_instance_ever_shows_a_lower_revision() {
    let mut bed = TestBed::start(TestBedPlan { instances: 5, ..TestBedPlan::default() }).await;
    let mut service = bed.create_service("orders").await;
    let mut watching = tokio::task::JoinSet::new();
    for board in bed.boards() {
        watching.spawn(async move {
            let mut last = 0;
            loop {
                let seen = board.services().get("orders").map_or(0, |state| state.revision);
                assert!(seen >= last, "revision {seen} after {last}");
                last = seen;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        });
    }
    let mut revision = 1;
    for round in 0..30_u32 {
        match round % 10 {
            3 => bed.platform().switches.delay_ms.store(60, Ordering::Release),
            5 => bed.platform().switches.responses_to_drop.store(3, Ordering::Release),
            7 => {
                bed.stop_platform();
                bed.start_platform().await;
            }
            _ => {}
        }
        service.timeout_ms = 1_000 + round;
        let at = round as usize % 5;
        wait_until("the change is accepted", async || {
            match bed.put_service(at, &service, revision).await {
                Ok(committed) => {
                    revision = committed;
                    true
                }
                // After an unknown commit, the next attempt conflicts with our own change.
                Err(err) if err.code == Code::Conflict => {
                    revision += 1;
                    true
                }
                Err(_) => false,
            }
        })
        .await;
    }
    bed.wait_until_applied("orders", revision).await;
    assert!(watching.try_join_next().is_none(), "an observer saw a revision go down");
}

/// Guards against a service that an accepted change created or changed and that a restored store has
/// lost: the store must get it back, for instances that start later.
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_store_gets_lost_changes_back() {
    let mut bed = TestBed::start(TestBedPlan::default()).await;
    let mut service = bed.create_service("orders").await;
    let copy = bed.state.copy();
    service.timeout_ms = 1_234;
    bed.put_service(0, &service, 1).await.expect("accepted");
    bed.create_service("filings").await;
    bed.wait_until_applied("orders", 2).await;
    bed.stop_platform();
    bed.state.restore(&copy);
    bed.start_platform().await;
    let settings = bed.boards()[0].settings.clone();
    let store = AnyStore::open(settings.platform.as_ref());
    wait_until("the store has both services again", async || {
        let orders = store.get("sorrelwick/services/orders").await;
        let filings = store.get("sorrelwick/services/filings").await;
        let has = |entry: &Option<Entry>, text: &str| {
            entry.as_ref().is_some_and(|entry| String::from_utf8_lossy(&entry.value).contains(text))
        };
        orders.is_ok_and(|entry| has(&entry, "1234")) && filings.is_ok_and(|entry| entry.is_some())
    })
    .await;
}

/// Guards against a change that is accepted and never in force: a restored store has lost the
/// revision before it, so its revision would be one that the instances already know.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_right_after_a_restore_gets_a_new_revision() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    let mut service = bed.create_service("orders").await;
    let copy = bed.state.copy();
    service.timeout_ms = 1_234;
    bed.put_service(0, &service, 1).await.expect("accepted");
    bed.wait_until_applied("orders", 2).await;
    // No watcher notices this restore before the change.
    bed.state.restore(&copy);
    bed.operator(1).set_budget("orders", 7).await.expect("accepted");
    let took = bed.wait_until_applied("orders", 3).await;
    assert!(took < PROPAGATION_MAX, "{took:?}");
    let row = bed.boards()[2].catalog.lock().get("orders").cloned().expect("in force");
    let in_force = row.service.map(|service| (service.timeout_ms, service.measuring_budget_per_s));
    assert_eq!(in_force, Some((1_234, 7)));
}

/// Guards against rows of a deleted service that arrive late from a peer and restore it, after
/// which a new service of the same name is created.
#[tokio::test(flavor = "multi_thread")]
async fn late_rows_do_not_restore_a_deleted_service() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    let mut service = bed.create_service("orders").await;
    let old = bed.boards()[0].catalog.lock().get("orders").cloned().expect("in force");
    let deleted = bed.operator(1).delete("orders", 1).await.expect("deleted");
    assert_eq!(deleted.revision, 2);
    wait_until("the service is gone everywhere", async || {
        bed.boards().iter().all(|board| !board.services().contains_key("orders"))
    })
    .await;
    for board in bed.boards() {
        let updated = sorrelwick::catalog::merge_rows(&board, vec![("orders".into(), old.clone())]);
        assert!(updated.is_empty(), "a late row restored the service");
    }
    service.timeout_ms = 777;
    assert_eq!(bed.put_service(2, &service, 0).await, Ok(3));
    bed.wait_until_applied("orders", 3).await;
}
