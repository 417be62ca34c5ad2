//! Which instances are the homes of a zone; without network.

use std::sync::Arc;
use std::time::Duration;

use sorrelwick::board::Blackboard;
use sorrelwick::board::MembersView;
use sorrelwick::gateway::CurrentRouteTable;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::gateway::HomePlanner;
use sorrelwick::gateway::HomesPlan;
use sorrelwick::gateway::all_homes;
use sorrelwick::gateway::homes_of_zone;
use sorrelwick::member::MemberRow;
use sorrelwick::member::MemberState;
use sorrelwick::quota::QuotaTolerance;
use sorrelwick::quota::Quotas;
use sorrelwick::retry::RetryAllowance;
use sorrelwick::retry::RetryClass;
use sorrelwick::retry::RetryRank;
use standins::routed::fleet_settings;
use standins::routed::member_row;

mod common;

fn row(name: &str, zone: &str, capacity_per_s: u32, state: MemberState) -> Arc<MemberRow> {
    let address = ([127, 0, 0, 1], 1).into();
    Arc::new(MemberRow {
        incarnation: xxhash_rust::xxh3::xxh3_64(name.as_bytes()),
        generation: 0,
        state,
        name: name.into(),
        zone: zone.into(),
        caller_address: address,
        operator_address: address,
        peer_address: address,
        capacity_per_s,
        reaches_servers: true,
        uptime_ms: 1,
        successor: None,
    })
}

fn names(rows: &[Arc<MemberRow>]) -> Vec<&str> {
    rows.iter().map(|row| row.name.as_str()).collect()
}

/// Two large instances and many small ones.
fn mixed_fleet() -> Vec<Arc<MemberRow>> {
    let mut rows: Vec<Arc<MemberRow>> =
        (10..40).map(|n| row(&format!("a-{n}"), "a", 60, MemberState::Alive)).collect();
    rows.push(row("a-8", "a", 500, MemberState::Alive));
    rows.push(row("a-9", "a", 500, MemberState::Alive));
    rows
}

/// Guards against ranking by name: callers were sent to an instance with a tenth of a core while
/// the large ones were idle.
#[test]
fn largest_instances_become_homes_until_demand_is_met() {
    let rows = mixed_fleet();
    let homes = |demand_per_s| {
        homes_of_zone(
            &MembersView::from_rows(&rows),
            "a",
            HomesPlan { homes_min: 1, demand_per_s, needs_servers: true },
        )
    };
    assert_eq!(names(&homes(0)), ["a-8"]);
    assert_eq!(names(&homes(500)), ["a-8"]);
    assert_eq!(names(&homes(800)), ["a-8", "a-9"]);
    assert_eq!(names(&homes(1_100)), ["a-8", "a-9", "a-10", "a-11"]);
}

/// A large suspect must not rank before small instances that respond.
#[test]
fn suspects_rank_last_and_leaving_instances_are_excluded() {
    let mut rows = mixed_fleet();
    rows.retain(|row| row.capacity_per_s < 500);
    rows.push(row("a-8", "a", 500, MemberState::Suspect));
    rows.push(row("a-9", "a", 500, MemberState::Leaving));
    let homes = homes_of_zone(
        &MembersView::from_rows(&rows),
        "a",
        HomesPlan { homes_min: 1, demand_per_s: 100, needs_servers: true },
    );
    assert_eq!(names(&homes), ["a-10", "a-11"]);
}

/// A zone without instances borrows homes from other zones, and the choice does not depend on the
/// order of the rows.
#[test]
fn zones_borrow_homes_regardless_of_row_order() {
    common::property(200, |u| {
        let mut rows = Vec::new();
        for number in 0..u.int_in_range(1..=20)? {
            let zone = ["a", "b", "c"][u.int_in_range(0..=1)?];
            let capacity_per_s = u.int_in_range(1..=500)?;
            rows.push(row(&format!("i-{number}"), zone, capacity_per_s, MemberState::Alive));
        }
        let demand_per_s = u.int_in_range(0..=2_000)?;
        let plan = HomesPlan { homes_min: 1, demand_per_s, needs_servers: true };
        let mut turned = rows.clone();
        turned.rotate_left(u.int_in_range(0..=rows.len() - 1)?);
        for zone in ["a", "b", "c"] {
            let homes = homes_of_zone(&MembersView::from_rows(&rows), zone, plan);
            assert!(!homes.is_empty());
            assert_eq!(
                names(&homes),
                names(&homes_of_zone(&MembersView::from_rows(&turned), zone, plan))
            );
            let carried: u32 = homes.iter().map(|row| row.capacity_per_s).sum();
            assert!(carried >= plan.demand_per_s || homes.len() == 8.min(rows.len()));
        }
        assert_eq!(
            names(&all_homes(&MembersView::from_rows(&rows), plan)),
            names(&all_homes(&MembersView::from_rows(&turned), plan))
        );
        Ok(())
    });
}

/// Guards against exceeding the retry budget while all instances restart: each knows no other yet,
/// and would use the slack of all of them.
#[tokio::test(start_paused = true)]
async fn instance_that_knows_no_other_uses_no_retry_slack() {
    const PLANNED: Duration = Duration::from_secs(1);
    let seed = ([127, 0, 0, 1], 9).into();
    let board = Arc::new(Blackboard::new(fleet_settings("i", "z", &["z"], &[seed]), 1));
    board.publish_members();
    let allowance = RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack_retries: 60.0 };
    let dispatcher = Dispatcher::new("z", allowance);
    let tolerance = QuotaTolerance { window_s: 5.0, overage_fraction: 0.1, slack_requests: 20.0 };
    let planner = HomePlanner {
        board: Arc::clone(&board),
        dispatcher: dispatcher.clone(),
        table: CurrentRouteTable::default(),
        quotas: Arc::new(Quotas::new(tolerance, 0)),
    };
    tokio::spawn(planner.run());
    tokio::time::sleep(PLANNED).await;
    let rank = RetryRank::new(RetryClass::LastAttempt, 0, false);
    let service: Arc<str> = "parts".into();
    assert!(dispatcher.spend_retry(&service, rank).is_err());
    board.members.lock().merge(&member_row(2), 1_000);
    board.publish_members();
    tokio::time::sleep(PLANNED).await;
    assert!(dispatcher.spend_retry(&service, rank).is_ok());
}
