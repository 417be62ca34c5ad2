//! Instances of the product's own interface that lose their paths to the backend servers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sorrelwick::board::Blackboard;
use sorrelwick::clock::now_ms;
use sorrelwick::member::MemberRow;
use sorrelwick::route::Placement;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::bed::wait_until;
use standins::caller::Call;
use standins::caller::Caller;
use standins::routed::member_row;

const REQUESTS: usize = 30;

fn set_reach(board: &Blackboard, reaches_servers: bool) {
    board.members.lock().set_own_reach(reaches_servers, now_ms());
    board.publish_members();
}

/// The indexes of the instances that are homes of the service, as each instance sees them.
fn homes_by_instance(bed: &TestBed, service: &str) -> Vec<Vec<u64>> {
    let homes = |board: &Arc<Blackboard>| {
        let services = board.services();
        let homes = services.get(service).map(|state| state.homes.clone()).unwrap_or_default();
        let mut homes: Vec<u64> = homes.iter().map(|row| row.incarnation).collect();
        homes.sort_unstable();
        homes
    };
    bed.boards().iter().map(homes).collect()
}

/// Guards against keepers of servers that they do not reach: nobody else may use their slots.
#[tokio::test]
async fn isolated_instance_is_neither_home_nor_keeper() {
    let bed = TestBed::start(TestBedPlan { instances: 1, ..TestBedPlan::default() }).await;
    let service = bed.service("portal");
    let member = |incarnation: u64, reaches_servers: bool| {
        Arc::new(MemberRow {
            zone: bed.plan.zone(usize::try_from(incarnation).expect("small")).to_owned(),
            reaches_servers,
            ..member_row(incarnation)
        })
    };
    for isolated in 0..3 {
        let members: Vec<_> = (0..3).map(|number| member(number, number != isolated)).collect();
        let placement = Placement::decide(&service, &members, isolated, "burnaby");
        assert!(placement.homes.iter().all(|home| home.incarnation != isolated));
        assert!(placement.is_keeper.iter().all(|keeper| !keeper));
    }
    // Servers that nobody reaches move nothing.
    let all_lost: Vec<_> = (0..3).map(|number| member(number, false)).collect();
    let none_lost: Vec<_> = (0..3).map(|number| member(number, true)).collect();
    let placement = |members: &[Arc<MemberRow>]| {
        let placement = Placement::decide(&service, members, 0, "burnaby");
        let homes: Vec<u64> = placement.homes.iter().map(|home| home.incarnation).collect();
        (homes, placement.is_keeper)
    };
    assert_eq!(placement(&all_lost), placement(&none_lost));
}

/// Guards against refusing callers of an isolated home: it serves them through the homes that took
/// its servers over, and becomes a home again once it reaches servers.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_isolated_home_are_served_by_other_homes() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("portal").await;
    let isolated = Arc::clone(bed.daemon(0).board());
    let before = homes_by_instance(&bed, "portal");
    assert!(before.iter().all(|homes| homes.contains(&isolated.incarnation)), "{before:?}");
    set_reach(&isolated, false);
    wait_until("no instance takes the isolated one for a home", async || {
        let homes = homes_by_instance(&bed, "portal");
        homes.iter().all(|homes| !homes.contains(&isolated.incarnation))
    })
    .await;
    let caller = Caller::fixed("portal", isolated.settings.listen.caller);
    for number in 0..REQUESTS {
        let result = caller.call(&Call::get("/lookup", &format!("isolated-{number}"))).await;
        assert_eq!(result.outcome(), "ran", "request {number}: {result:?}");
    }
    set_reach(&isolated, true);
    wait_until("the homes are as before", async || homes_by_instance(&bed, "portal") == before)
        .await;
}

/// Guards against mistaking an outage of the servers for lost paths: homes and keepers stay.
#[tokio::test(flavor = "multi_thread")]
async fn outage_of_all_servers_moves_no_homes() {
    let mut bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("portal").await;
    let before = homes_by_instance(&bed, "portal");
    let caller = bed.caller("portal", 0);
    assert_eq!(caller.call(&Call::get("/lookup", "before")).await.outcome(), "ran");
    bed.backends.clear();
    let since = Instant::now();
    let mut in_doubt = false;
    while since.elapsed() < Duration::from_secs(3) {
        let result = caller.call(&Call::get("/lookup", "gone")).await;
        assert_ne!(result.outcome(), "ran", "{result:?}");
        assert_eq!(homes_by_instance(&bed, "portal"), before);
        in_doubt |= bed.boards().iter().any(|board| !board.reach.in_doubt().is_empty());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(in_doubt, "failed requests leave no evidence on the paths");
    assert!(bed.boards().iter().all(|board| board.reach.lost().is_empty()));
}
