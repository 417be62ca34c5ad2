//! A complete system on one machine: a platform stand-in, backend servers, three instances in three
//! availability zones, an operator call and 6,000 requests, over real sockets.
//!
//! Exits with 0 only if each response was complete and correct and no order ran twice.

use std::process::ExitCode;

use standins::backend::body_for;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::caller::Call;
use standins::caller::Caller;
use standins::load::LoadPlan;
use standins::load::LoadSummary;
use standins::load::run_load;

const LOOKUPS: u64 = 4_000;
const ORDERS: u64 = 1_000;
const RATE_PER_S: f64 = 1_000.0;
const ORDER_BYTES: usize = 300;

/// Sends each order twice with the same idempotency key, as a caller does that got no response to the
/// first call. Returns the number of correct responses.
async fn send_orders(callers: &[Caller]) -> u64 {
    let mut correct = 0;
    for number in 0..ORDERS {
        let id = format!("order-{number}");
        let caller = &callers[usize::try_from(number).unwrap_or(0) % callers.len()];
        let call = Call::post(&format!("/orders?bytes={ORDER_BYTES}"), &id);
        let (key, first) = caller.call_with_new_key(&call).await;
        let Some(key) = key else {
            continue;
        };
        let again = caller.call(&call.with_key(&key)).await;
        let expected = body_for(&id, ORDER_BYTES);
        let first_is_correct = first.body() == expected && first.outcome() == "ran";
        correct += u64::from(first_is_correct) + u64::from(again.body() == expected);
    }
    correct
}

#[tokio::main]
async fn main() -> ExitCode {
    let bed = TestBed::start(TestBedPlan::default()).await;
    println!("platform at {}, {} backend servers", bed.platform().address(), bed.backends.len());
    for board in bed.boards() {
        let (name, zone) = (&board.settings.instance.name, &board.settings.instance.zone);
        println!("instance {name} in {zone} accepts callers at {}", board.settings.listen.caller);
    }
    bed.create_service("orders").await;
    println!("service 'orders' is active on all instances");
    let callers: Vec<Caller> = (0..3).map(|zone| bed.caller("orders", zone)).collect();
    let plan = LoadPlan {
        rate_per_s: RATE_PER_S,
        requests: LOOKUPS,
        name: "lookup".into(),
        ..LoadPlan::default()
    };
    let lookups = run_load(&plan, &callers).await;
    println!("{}", LoadSummary::table_header());
    println!("{}", lookups.table_row("lookups"));
    let correct_orders = send_orders(&callers).await;
    let counts = bed.run_counts();
    let orders = counts.iter().filter(|(id, _)| id.starts_with("order-"));
    let doubled = orders.filter(|(_, count)| **count != 1).count();
    println!(
        "orders: {correct_orders} of {} responses correct, {doubled} not run exactly once",
        2 * ORDERS
    );
    let passed = lookups.correct == LOOKUPS && correct_orders == 2 * ORDERS && doubled == 0;
    println!("{}", if passed { "all responses complete and correct" } else { "FAILED" });
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
