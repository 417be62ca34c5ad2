//! Guarantee: a request that is not idempotent (an order, a filing) runs at most once.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standins::backend::BackendSettings;
use standins::backend::body_for;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::bed::wait_until;
use standins::caller::Call;
use standins::caller::CallResult;
use standins::caller::Caller;
use tokio::task::JoinSet;

const BYTES: usize = 200;

fn order(id: &str) -> Call {
    Call::post(&format!("/orders?bytes={BYTES}"), id)
}

/// Asserts that no id ran twice, and that the last answer to one that ran is not `not-run`.
fn assert_at_most_once(bed: &TestBed, answers_by_id: &HashMap<String, Vec<CallResult>>) {
    let counts = bed.run_counts();
    for (id, answers) in answers_by_id {
        let runs = counts.get(id).copied().unwrap_or(0);
        assert!(runs <= 1, "{id} ran {runs} times: {answers:?}");
        let last = answers.last();
        let denied = last.is_some_and(|answer| answer.outcome() == "not-run");
        assert!(runs == 0 || !denied, "{id} ran, and its last answer is not-run: {answers:?}");
        for answer in
            answers.iter().filter(|answer| answer.outcome() == "ran" && answer.code() == 0)
        {
            assert_eq!(answer.body(), &body_for(id, BYTES)[..], "{id}");
        }
    }
}

/// A caller sends a keyed order to all instances at the same time, and once more later. The order
/// runs once, and every copy gets its answer.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_at_any_instance_get_the_first_answer() {
    let bed = TestBed::start(TestBedPlan { instances: 4, ..TestBedPlan::default() }).await;
    bed.create_service("orders").await;
    let addresses = bed.caller_addresses();
    let mut answers_by_id: HashMap<String, Vec<CallResult>> = HashMap::new();
    for number in 0..40 {
        let id = format!("o-{number}");
        let caller = bed.caller("orders", number);
        let listed = caller.addresses().await;
        let key = format!("{}-{id}", listed[0].key_prefix);
        let mut work = JoinSet::new();
        for address in addresses.iter().copied() {
            let (caller, call) = (caller.clone(), order(&id).with_key(&key));
            work.spawn(async move { caller.call_at(address, &call).await });
        }
        let mut answers = work.join_all().await;
        answers.push(caller.call_at(addresses[number % 4], &order(&id).with_key(&key)).await);
        assert!(answers.iter().all(|answer| answer.outcome() == "ran"), "{answers:?}");
        answers_by_id.insert(id, answers);
    }
    assert_at_most_once(&bed, &answers_by_id);
    assert_eq!(bed.run_counts().len(), 40);
}

/// The owner of a key is not a home of the service and gets the answer from a home. It must record
/// that answer, too: otherwise a repeat learns that the order ran, but never gets the answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_is_no_home_records_the_answer() {
    let bed = TestBed::start(TestBedPlan { instances: 5, ..TestBedPlan::default() }).await;
    bed.create_service("orders").await;
    let caller = bed.caller("orders", 0);
    for (at, listed) in caller.addresses().await.into_iter().enumerate() {
        let id = format!("owner-{at}");
        let call = order(&id).with_key(&format!("{}-{id}", listed.key_prefix));
        let first = caller.call_at(listed.address, &call).await;
        assert_eq!(first.body(), &body_for(&id, BYTES)[..]);
        assert_eq!(caller.call_at(listed.address, &call).await, first);
    }
}

/// Keys without a prefix name no owner: the platform's store decides which instance runs them, even
/// if the answers of the store are lost after the calls took effect.
#[tokio::test(flavor = "multi_thread")]
async fn plain_keys_run_once_through_lost_answers_of_the_store() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("orders").await;
    let addresses = bed.caller_addresses();
    let mut answers_by_id: HashMap<String, Vec<CallResult>> = HashMap::new();
    for number in 0..30 {
        let id = format!("p-{number}");
        let caller = bed.caller("orders", number);
        if number % 3 == 0 {
            bed.platform().switches.responses_to_drop.store(1, Ordering::Release);
        }
        let mut work = JoinSet::new();
        for address in addresses.iter().copied() {
            let (caller, call) = (caller.clone(), order(&id).with_key(&format!("shop-7-{id}")));
            work.spawn(async move { caller.call_at(address, &call).await });
        }
        answers_by_id.insert(id, work.join_all().await);
    }
    assert_at_most_once(&bed, &answers_by_id);
    let ran = answers_by_id.values().flatten().filter(|answer| answer.outcome() == "ran").count();
    assert!(ran >= 60, "most requests must run despite lost answers: {ran}");
}

/// Guards against an order that runs twice because a restored store has lost the claim on its plain
/// key: its repeat at another instance claims the key anew.
#[tokio::test(flavor = "multi_thread")]
async fn plain_keys_run_once_over_a_restore_of_the_store() {
    let mut bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("orders").await;
    let caller = bed.caller("orders", 0);
    let addresses = bed.caller_addresses();
    let copy = bed.state.copy();
    let call = order("lost-claim").with_key("plain-lost-claim");
    let first = caller.call_at(addresses[0], &call).await;
    bed.stop_platform();
    bed.state.restore(&copy);
    bed.start_platform().await;
    let second = caller.call_at(addresses[1], &call).await;
    let answers = HashMap::from([("lost-claim".to_owned(), vec![first, second])]);
    assert_at_most_once(&bed, &answers);
}

/// While the store is down, the repeat of an order with a plain key that ran before must neither
/// get `not-run` nor run again. A new plain key cannot be claimed and does not run. Keys with a
/// prefix do not need the store.
#[tokio::test(flavor = "multi_thread")]
async fn with_the_store_down_plain_keys_are_unknown_and_bound_keys_run() {
    let mut bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("orders").await;
    let caller = bed.caller("orders", 0);
    let addresses = bed.caller_addresses();
    let first = caller.call_at(addresses[0], &order("ran").with_key("plain-ran")).await;
    assert_eq!(first.outcome(), "ran");
    bed.stop_platform();
    let mut answers_by_id: HashMap<String, Vec<CallResult>> = HashMap::new();
    for address in &addresses {
        for id in ["ran", "new"] {
            let call = order(id).with_key(&format!("plain-{id}")).with_timeout_ms(2_000);
            let answer = caller.call_at(*address, &call).await;
            assert_eq!(answer.outcome(), "unknown", "{id}: {answer:?}");
            answers_by_id.entry(id.into()).or_default().push(answer);
        }
    }
    let (_, bound) = caller.call_with_new_key(&order("bound")).await;
    assert_eq!(bound.outcome(), "ran");
    bed.start_platform().await;
    let repeat = caller.call_at(addresses[1], &order("ran").with_key("plain-ran")).await;
    assert_eq!(repeat, first, "the first answer, once the store names its owner again");
    assert_at_most_once(&bed, &answers_by_id);
}

/// An instance is killed while it runs keyed requests: some not yet sent to a server, some in
/// flight, some answered. Each is repeated at the other instances. None may run twice, and none
/// that ran may get `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_never_lets_a_key_run_elsewhere() {
    let mut plan = TestBedPlan { instances: 4, backends: 4, ..TestBedPlan::default() };
    plan.backend = BackendSettings { work_us: 15_000, ..plan.backend };
    let mut bed = TestBed::start(plan).await;
    bed.create_service("filings").await;
    let addresses = bed.caller_addresses();
    let caller = Caller::new("filings", "burnaby", &addresses);
    let listed = caller.addresses().await;
    let victim = listed[0].address;
    let victim_at = addresses.iter().position(|a| *a == victim).expect("a known address");
    let mut work = JoinSet::new();
    for number in 0..60 {
        let id = format!("f-{number}");
        let key = format!("{}-{id}", listed[0].key_prefix);
        let caller = caller.clone();
        let call = order(&id).with_key(&key).with_timeout_ms(3_000);
        work.spawn(async move {
            tokio::time::sleep(Duration::from_micros(500 * number)).await;
            let first = caller.call_at(victim, &call).await;
            (id, call, first)
        });
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    bed.kill(victim_at);
    let mut answers_by_id: HashMap<String, Vec<CallResult>> = HashMap::new();
    for (id, call, first) in work.join_all().await {
        let mut answers = vec![first];
        for address in addresses.iter().filter(|address| **address != victim) {
            answers.push(caller.call_at(*address, &call).await);
        }
        answers_by_id.insert(id, answers);
    }
    assert_at_most_once(&bed, &answers_by_id);
    let broken = answers_by_id
        .values()
        .filter(|answers| !matches!(answers[0], CallResult::Answered { .. }))
        .count();
    assert!(broken > 0, "the kill must interrupt requests, or the test proves nothing");
}

/// An instance stops as planned and hands its outcomes over. Orders that are then repeated at other
/// instances must get the answers that it gave.
#[tokio::test(flavor = "multi_thread")]
async fn outcomes_survive_a_planned_stop() {
    let mut bed = TestBed::start(TestBedPlan { instances: 4, ..TestBedPlan::default() }).await;
    bed.create_service("orders").await;
    let addresses = bed.caller_addresses();
    let caller = Caller::new("orders", "burnaby", &addresses);
    let listed = caller.addresses().await;
    let owner = listed[0].address;
    let at = addresses.iter().position(|address| *address == owner).expect("known");
    let mut answers_by_id: HashMap<String, Vec<CallResult>> = HashMap::new();
    let mut calls = Vec::new();
    for number in 0..30 {
        let id = format!("s-{number}");
        let call = order(&id).with_key(&format!("{}-{id}", listed[0].key_prefix));
        answers_by_id.insert(id.clone(), vec![caller.call_at(owner, &call).await]);
        calls.push((id, call));
    }
    bed.daemons[at].take().expect("runs").stop().await;
    for (id, call) in &calls {
        for address in addresses.iter().filter(|address| **address != owner) {
            let repeat = caller.call_at(*address, call).await;
            let answers = answers_by_id.get_mut(id).expect("was sent");
            assert_eq!(repeat, answers[0], "{id} repeated after the hand-over");
            answers.push(repeat);
        }
    }
    // A key that the stopped instance never saw runs at its successor, once.
    let fresh = order("fresh").with_key(&format!("{}-fresh", listed[0].key_prefix));
    let others: Vec<_> = addresses.iter().filter(|address| **address != owner).collect();
    let mut answers = Vec::new();
    for address in others {
        answers.push(caller.call_at(*address, &fresh).await);
    }
    assert!(answers.iter().all(|answer| answer.outcome() == "ran"), "{answers:?}");
    answers_by_id.insert("fresh".into(), answers);
    assert_at_most_once(&bed, &answers_by_id);
}

/// In a rolling restart, each instance hands its outcomes to a successor. An order that is repeated
/// after two hand-overs still gets its answer.
#[tokio::test(flavor = "multi_thread")]
async fn outcomes_survive_two_planned_stops_in_a_row() {
    let mut bed = TestBed::start(TestBedPlan { instances: 5, ..TestBedPlan::default() }).await;
    bed.create_service("orders").await;
    let addresses = bed.caller_addresses();
    let caller = Caller::new("orders", "burnaby", &addresses);
    let listed = caller.addresses().await;
    let call = order("rolled").with_key(&format!("{}-rolled", listed[0].key_prefix));
    let first = caller.call_at(listed[0].address, &call).await;
    assert_eq!(first.outcome(), "ran");
    let mut owner = addresses.iter().position(|a| *a == listed[0].address).expect("known");
    for _ in 0..2 {
        let own = bed.daemon(owner).board().incarnation;
        bed.daemons[owner].take().expect("runs").stop().await;
        let boards = bed.boards();
        let taker = boards.iter().find(|board| board.outcomes.owns(own)).expect("a successor");
        let at = bed.daemons.iter().position(|daemon| {
            daemon.as_ref().is_some_and(|d| d.board().incarnation == taker.incarnation)
        });
        owner = at.expect("it runs");
    }
    for address in bed.caller_addresses() {
        assert_eq!(caller.call_at(address, &call).await, first);
    }
    assert_at_most_once(&bed, &HashMap::from([("rolled".to_owned(), vec![first])]));
}

/// An instance that does not know the service (yet, or any longer) gets a key whose order ran at
/// another instance. It cannot know that and must not answer `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_the_service_never_reports_not_run_for_a_key() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("orders").await;
    let caller = bed.caller("orders", 0);
    let (key, first) = caller.call_with_new_key(&order("known")).await;
    assert_eq!(first.outcome(), "ran");
    bed.operator(0).delete("orders", 1).await.expect("deleted");
    wait_until("it is gone", async || bed.boards().iter().all(|b| b.services().is_empty())).await;
    let repeat = caller.call(&order("known").with_key(&key.expect("a key"))).await;
    assert_eq!((repeat.outcome(), repeat.code()), ("unknown", 2002));
    let plain = caller.call(&order("never")).await;
    assert_eq!((plain.outcome(), plain.code()), ("not-run", 2002));
}

/// An operator declares orders not idempotent. An instance on the older revision forwards an order
/// to a home and bypasses the owner of its key; the home has the newer revision. The order is then
/// repeated at the owner, and must not run at both.
#[tokio::test(flavor = "multi_thread")]
async fn instances_that_disagree_on_idempotent_do_not_run_a_key_twice() {
    use sorrelwick::peer::ForwardHead;
    use sorrelwick::peer::ForwardStage;
    use sorrelwick::peer::Links;
    let bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("orders").await;
    let caller = bed.caller("orders", 0);
    let listed = caller.addresses().await;
    let links = Links::new(&bed.boards()[0].settings.peers.secret);
    for (at, board) in bed.boards().iter().enumerate() {
        let id = format!("d-{at}");
        let key = format!("{}-{id}", listed[0].key_prefix);
        let head = ForwardHead {
            fingerprints: sorrelwick::quarantine::Fingerprints::of(
                std::net::Ipv4Addr::LOCALHOST.into(),
                "orders",
                "POST",
                "/orders",
                b"",
            ),
            service: "orders".into(),
            method: "POST".into(),
            target: format!("/orders?bytes={BYTES}"),
            headers: vec![("x-request-id".into(), id.clone().into_bytes())],
            key: Some(key.clone()),
            idempotent: true,
            stage: ForwardStage::Home,
            remaining_us: 2_000_000,
        };
        let deadline = tokio::time::Instant::now() + Duration::from_secs(2);
        let to = board.settings.listen.peer;
        let passed = links.forward(to, &head, &bytes::Bytes::new(), deadline).await;
        assert!(passed.is_ok());
        let repeat = caller.call(&order(&id).with_key(&key)).await;
        assert_at_most_once(&bed, &HashMap::from([(id, vec![repeat])]));
    }
}

/// An order is repeated after its recorded outcome has expired. It must neither run again nor get
/// `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_older_than_its_record_is_unknown() {
    let mut plan = TestBedPlan::default();
    plan.outcomes.epoch_ms = 100;
    plan.outcomes.window_epochs = 6;
    let bed = TestBed::start(plan).await;
    bed.create_service("orders").await;
    let caller = bed.caller("orders", 0);
    let (key, first) = caller.call_with_new_key(&order("old")).await;
    assert_eq!(first.outcome(), "ran");
    let call = order("old").with_key(&key.expect("a key"));
    wait_until("the record is gone", async || bed.boards().iter().all(|b| b.outcomes.is_empty()))
        .await;
    let late = caller.call(&call).await;
    assert_eq!((late.outcome(), late.code()), ("unknown", 2006));
    assert_at_most_once(&bed, &HashMap::from([("old".to_owned(), vec![late])]));
}

/// A caller disconnects while its order runs, and repeats it with the same key. The first run
/// continues, and the repeat gets its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_gets_its_answer_on_repeat() {
    let mut plan = TestBedPlan::default();
    plan.backend = BackendSettings { work_us: 30_000, ..plan.backend };
    let bed = TestBed::start(plan).await;
    bed.create_service("orders").await;
    let caller = bed.caller("orders", 0);
    let listed = caller.addresses().await;
    let mut answers_by_id: HashMap<String, Vec<CallResult>> = HashMap::new();
    for number in 0..20 {
        let id = format!("l-{number}");
        let call = order(&id).with_key(&format!("{}-{id}", listed[0].key_prefix));
        let first = caller.call_at(listed[0].address, &call);
        let _ = tokio::time::timeout(Duration::from_millis(number), first).await;
        let repeat = caller.call_at(listed[1].address, &call).await;
        assert_eq!(repeat.outcome(), "ran", "{repeat:?}");
        answers_by_id.insert(id, vec![repeat]);
    }
    assert_at_most_once(&bed, &answers_by_id);
}
