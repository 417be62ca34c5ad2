//! Server rows and request specs for tests of server pools without a network.

use sorrelwick::balance::RequestSpec;
use sorrelwick::model::ServerRow;
use sorrelwick::model::ServerState;

const TARGET_MS: f64 = 600.0;
const DEADLINE_US: u64 = 1_500_000;

/// A ready server with four slots and no warm-up.
#[must_use]
pub fn ready_row(id: &str) -> ServerRow {
    ServerRow {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 4,
        state: ServerState::Ready,
        warmup_ms: 0,
        started_ms: 0,
        sequence: 0,
    }
}

/// A request that arrives at `now_us`, with a target latency of 600 ms and a deadline of 1.5 s.
#[must_use]
pub fn spec_now(now_us: u64) -> RequestSpec {
    RequestSpec {
        route: "look".into(),
        workspace: None,
        priority: 0,
        target_ms: TARGET_MS,
        arrived_us: now_us,
        spent_before_us: 0,
        deadline_us: now_us + DEADLINE_US,
        tried_servers: <_>::default(),
    }
}
