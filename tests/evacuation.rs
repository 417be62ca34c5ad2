//! Evacuated availability zones: no request is sent to their backend servers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use sorrelwick::balance::RequestSpec;
use sorrelwick::board::Blackboard;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::gateway::Mirror;
use sorrelwick::gateway::OperatorSink;
use sorrelwick::model::ServerRow;
use sorrelwick::model::ServerState;
use sorrelwick::peer::FeedReply;
use sorrelwick::retry::RetryAllowance;
use sorrelwick::store::Item;
use sorrelwick::store::ItemEvent;
use sorrelwick::store::Revision;
use standins::routed::CONFIG_KEY;
use standins::routed::EVACUATIONS_PREFIX;
use standins::routed::GatewayFleet;
use standins::routed::PlainDialect;
use standins::routed::RawServer;
use standins::routed::StoreFault;
use standins::routed::fleet_settings;
use standins::routed::two_routes;

mod common;

/// Half of the default time limit for evacuations.
const APPLY_MAX: Duration = Duration::from_millis(2_500);
const ZONES: [&str; 3] = ["a", "b", "c"];
const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack_retries: 10.0 };

fn row(id: &str, zone: &str) -> ServerRow {
    // Each server has an address of its own.
    let port = id.bytes().fold(0, |port, byte| port * 31 + u16::from(byte)) % 10_000 + 1;
    ServerRow {
        id: id.into(),
        service: "parts".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: zone.into(),
        slots: 4,
        state: ServerState::Ready,
        warmup_ms: 0,
        started_ms: 0,
        sequence: 0,
    }
}

fn request_spec() -> RequestSpec {
    let now_us = sorrelwick::clock::now_us();
    RequestSpec {
        route: "look".into(),
        workspace: None,
        priority: 1,
        target_ms: 600.0,
        arrived_us: now_us,
        spent_before_us: 0,
        deadline_us: now_us + 1_500_000,
        tried_servers: smallvec::SmallVec::new(),
    }
}

/// A dispatcher with two servers in each zone.
fn dispatcher() -> Dispatcher {
    let dispatcher = Dispatcher::new("a", ALLOWANCE);
    for zone in ZONES {
        for number in 0..2 {
            dispatcher.list_server(row(&format!("{zone}{number}"), zone));
        }
    }
    dispatcher
}

fn key(zone: &str) -> String {
    format!("{EVACUATIONS_PREFIX}{zone}")
}

/// Covers each way to a server of the zone: requests, hedges, and servers that are listed during
/// the evacuation.
#[tokio::test]
async fn no_request_is_sent_to_evacuated_zone() {
    let dispatcher = dispatcher();
    let change = dispatcher.evacuate("a").expect("the zone was not evacuated before");
    assert_eq!((change.servers, change.running), (2, 0));
    assert_eq!(dispatcher.evacuate("a"), None);
    dispatcher.list_server(row("a0", "a"));
    dispatcher.list_server(ServerRow { started_ms: 7, ..row("a1", "a") });
    dispatcher.list_server(row("a2", "a"));
    let service = "parts".into();
    let mut grants = Vec::new();
    for _ in 0..4 {
        grants.push(
            dispatcher.acquire(&service, request_spec()).await.expect("a slot in another zone"),
        );
        grants.extend(dispatcher.try_acquire_spare("parts", &request_spec()));
    }
    assert!(grants.iter().all(|grant| *grant.server.row.zone != *"a"));
    assert!(dispatcher.readmit("a").is_some_and(|change| change.servers == 3));
    let back = dispatcher.acquire(&service, request_spec()).await.expect("a slot is free");
    assert_eq!(&*back.server.row.zone, "a");
}

/// Guards against holding requests, queued or new, when all zones are evacuated.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_zones_are_evacuated() {
    let dispatcher = dispatcher();
    let running = tokio::spawn(dispatcher.clone().run());
    let service: Arc<str> = "parts".into();
    let mut grants = Vec::new();
    while let Some(grant) = dispatcher.try_acquire_spare("parts", &request_spec()) {
        grants.push(grant);
    }
    // A server may briefly offer its last slot, so that the request is granted and not queued.
    let waits = loop {
        let waiter = dispatcher.clone();
        let waits =
            tokio::spawn(async move { waiter.acquire(&"parts".into(), request_spec()).await });
        while !dispatcher.has_queue() && !waits.is_finished() {
            tokio::task::yield_now().await;
        }
        if dispatcher.has_queue() {
            break waits;
        }
        grants.push(waits.await.expect("the task does not panic").expect("a slot is free"));
    };
    let began = Instant::now();
    for zone in ZONES {
        dispatcher.evacuate(zone);
    }
    let waited =
        waits.await.expect("the task does not panic").expect_err("all zones are evacuated");
    assert!(waited.no_server && waited.retry_after_ms > 0, "{waited:?}");
    let came =
        dispatcher.acquire(&service, request_spec()).await.expect_err("all zones are evacuated");
    assert!(came.no_server && came.retry_after_ms > 0, "{came:?}");
    assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    running.abort();
}

fn board() -> Arc<Blackboard> {
    Arc::new(Blackboard::new(fleet_settings("i", "a", &ZONES, &[]), 1))
}

fn mirror(dispatcher: &Dispatcher) -> Mirror<OperatorSink<PlainDialect>> {
    Mirror::new(OperatorSink {
        dialect: PlainDialect::default(),
        table: Arc::new(ArcSwapOption::empty()),
        board: board(),
        dispatcher: dispatcher.clone(),
        age: Arc::default(),
    })
}

fn apply_reply(reply: FeedReply, to: &Mirror<OperatorSink<PlainDialect>>) {
    match reply {
        FeedReply::Events { events, revision } => to.apply(&events, revision, Duration::ZERO),
        FeedReply::Snapshot { items, revision } => to.replace(&items, revision, Duration::ZERO),
        FeedReply::Unknown => {}
    }
}

/// Guards against using an evacuated zone because a restored store has lost its evacuation until the
/// operators repeat it.
#[tokio::test(start_paused = true)]
async fn evacuation_lost_by_restore_holds_until_it_is_repeated() {
    const GRACE: Duration = Duration::from_millis(500);
    let dispatcher = dispatcher();
    let mirror = mirror(&dispatcher);
    let evacuation =
        |zone: &str, revision| Item { key: key(zone), value: b"{}".to_vec(), revision };
    let before = [evacuation("a", Revision::new(0, 4)), evacuation("b", Revision::new(0, 5))];
    mirror.replace(&before, Revision::new(0, 5), Duration::ZERO);
    mirror.replace(&[], Revision::new(1, 3), GRACE);
    assert_eq!(dispatcher.evacuated_zones(), ["a".into(), "b".into()]);
    tokio::time::sleep(GRACE / 2).await;
    let repeated = Revision::new(1, 4);
    mirror.apply(&[ItemEvent::Written(evacuation("a", repeated))], repeated, Duration::ZERO);
    tokio::time::sleep(GRACE).await;
    assert_eq!(dispatcher.evacuated_zones(), ["a".into()]);
}

/// Guards against a zone staying evacuated, or in use, contrary to the last write, because events
/// were duplicated, delayed or lost.
#[test]
fn last_write_per_zone_wins_despite_lost_events() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    let runtime = runtime.expect("the runtime starts");
    common::property(300, |u| {
        let (first, second) = (dispatcher(), dispatcher());
        let (relay, follower) = (mirror(&first), mirror(&second));
        let mut written: BTreeSet<&str> = BTreeSet::new();
        let mut events: Vec<ItemEvent> = Vec::new();
        let mut seen = 0;
        for _ in 0..u.int_in_range(1..=30)? {
            let zone = *u.choose(&ZONES)?;
            let revision = Revision::new(0, events.len() as u64 + 1);
            events.push(if written.remove(zone) {
                ItemEvent::Removed { key: key(zone), revision }
            } else {
                written.insert(zone);
                ItemEvent::Written(Item { key: key(zone), value: b"{}".to_vec(), revision })
            });
            if u.ratio(1, 2)? {
                relay.apply(&events[seen..], revision, Duration::ZERO);
                seen = events.len();
            }
            if u.ratio(1, 3)? {
                // Late events that are known already.
                let from = u.int_in_range(0..=seen)?;
                relay.apply(&events[from..seen], Revision::new(0, seen as u64), Duration::ZERO);
            }
            if u.ratio(1, 2)? {
                let after = follower.revision();
                let reply = runtime.block_on(relay.serve(after, Duration::ZERO)).reply;
                apply_reply(reply, &follower);
            }
        }
        relay.apply(&events[seen..], Revision::new(0, events.len() as u64), Duration::ZERO);
        let reply = runtime.block_on(relay.serve(follower.revision(), Duration::ZERO)).reply;
        apply_reply(reply, &follower);
        for dispatcher in [&first, &second] {
            let in_force = dispatcher.evacuated_zones();
            assert!(in_force.iter().map(|zone| &**zone).eq(written.iter().copied()));
            while let Some(grant) = dispatcher.try_acquire_spare("parts", &request_spec()) {
                assert!(!written.contains(&*grant.server.row.zone));
                std::mem::forget(grant);
            }
        }
        Ok(())
    });
}

/// A key without a valid zone, or with a zone without servers, must not hide the others.
#[test]
fn malformed_evacuation_key_does_not_affect_others() {
    let dispatcher = dispatcher();
    let mirror = mirror(&dispatcher);
    for (number, zone) in ["", "a/b", "nowhere", "b"].into_iter().enumerate() {
        let value = [0xff, 0x00].to_vec();
        let revision = Revision::new(0, number as u64 + 1);
        let written = ItemEvent::Written(Item { key: key(zone), value, revision });
        mirror.apply(&[written], revision, Duration::ZERO);
    }
    let zones = dispatcher.evacuated_zones();
    assert!(zones.iter().map(|zone| &**zone).eq(["b", "nowhere"]));
}

async fn two_zones() -> (GatewayFleet, [RawServer; 2]) {
    let bed = GatewayFleet::start(&["a", "a", "b", "b"]).await;
    let servers = [RawServer::spawn("a1").await, RawServer::spawn("b1").await];
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.store.put("servers/a1", &servers[0].entry("parts", "a", 4, "ready"));
    bed.store.put("servers/b1", &servers[1].entry("parts", "b", 4, "ready"));
    bed.wait_until_ready().await;
    (bed, servers)
}

/// Waits until requests at an instance reach only this server.
async fn until_only(bed: &GatewayFleet, at: usize, server: &RawServer, since: Instant) {
    let mut in_a_row = 0;
    while in_a_row < 10 {
        assert!(since.elapsed() < APPLY_MAX, "instance {at}");
        let ran = server.ran_ids().len();
        let answer = bed.call(at, "GET /look/a", "probe", &[]).await;
        in_a_row =
            if answer.status == 200 && server.ran_ids().len() > ran { in_a_row + 1 } else { 0 };
    }
}

/// Guards against requests to an evacuated zone from instances that the store rejects or that are
/// just starting.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_is_applied_everywhere_in_half_the_time_limit() {
    let (mut bed, [in_a, in_b]) = two_zones().await;
    until_only(&bed, 0, &in_a, Instant::now()).await;
    bed.store_clients[1].set_fault(StoreFault::Busy);
    let since = Instant::now();
    bed.store.put(&key("a"), "{}");
    bed.add("late", "a", &["a", "b"]).await;
    for at in 0..5 {
        until_only(&bed, at, &in_b, since).await;
    }
    let ran = in_a.ran_ids().len();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(in_a.ran_ids().len(), ran);
    bed.store.remove(&key("a"));
    bed.store.put(&key("b"), "{}");
    let since = Instant::now();
    for at in 0..5 {
        until_only(&bed, at, &in_a, since).await;
    }
}
