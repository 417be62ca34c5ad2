//! The whole path on one machine: a platform stand-in, backend servers, three instances in three
//! availability zones, an operator's call, and some thousand requests, over real sockets.
//!
//! Exits 0 only if every answer was whole and the request's own, and no order ran twice.

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

/// Each order is sent once, and then once more with its key, as a caller would that did not
/// hear the answer. Returns how many of all answers were right.
async fn send_orders(callers: &[Caller]) -> u64 {
    let mut right = 0;
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
        let whole = first.body() == expected && first.outcome() == "ran";
        right += u64::from(whole) + u64::from(again.body() == expected);
    }
    right
}

#[tokio::main]
async fn main() -> ExitCode {
    let bed = TestBed::start(TestBedPlan::default()).await;
    println!("platform on {}, {} backend servers", bed.platform().address(), bed.backends.len());
    for board in bed.boards() {
        let (name, zone) = (&board.settings.instance.name, &board.settings.instance.zone);
        println!("instance {name} in {zone} takes calls on {}", board.settings.listen.caller);
    }
    bed.create_service("orders").await;
    println!("service 'orders' is in force on all instances");
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
    let right_orders = send_orders(&callers).await;
    let counts = bed.run_counts();
    let orders = counts.iter().filter(|(id, _)| id.starts_with("order-"));
    let doubled = orders.filter(|(_, count)| **count != 1).count();
    println!("orders: {right_orders} of {} answers right, {doubled} run twice", 2 * ORDERS);
    let passed = lookups.correct == LOOKUPS && right_orders == 2 * ORDERS && doubled == 0;
    println!("{}", if passed { "all answers whole and right" } else { "FAILED" });
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
