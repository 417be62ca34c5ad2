//! Load plans and their execution.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::LoadSummary;
use crate::backend::body_for;
use crate::caller::Call;
use crate::caller::Caller;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Mean request rate; gaps are exponentially distributed.
    pub rate_per_s: f64,
    pub requests: u64,
    /// Path without query.
    pub path: String,
    pub method: String,
    /// Prefix of all request ids, so that ids of different runs differ.
    pub name: String,
    /// Response sizes are drawn uniformly from 1 to this many bytes.
    pub body_max_bytes: usize,
    /// Service time requested from the backend server; `None` leaves it to the server.
    pub work_us: Option<u64>,
    pub timeout_ms: u64,
    pub seed: u64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            rate_per_s: 500.0,
            requests: 1_000,
            path: "/lookup".into(),
            method: "GET".into(),
            name: "load".into(),
            body_max_bytes: 2_000,
            work_us: None,
            timeout_ms: 2_000,
            seed: 1,
        }
    }
}

fn build_call(plan: &LoadPlan, number: u64, len: usize) -> Call {
    let id = format!("{}-{number}", plan.name);
    let work = plan.work_us.map(|us| format!("&work_us={us}")).unwrap_or_default();
    let target = format!("{}?bytes={len}{work}", plan.path);
    Call { method: plan.method.clone(), path_and_query: target, id, ..Call::default() }
        .with_timeout_ms(plan.timeout_ms)
}

/// Sends the requests of the plan, round-robin over the callers, and waits for all responses.
pub async fn run_load(plan: &LoadPlan, callers: &[Caller]) -> LoadSummary {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut work: JoinSet<LoadSummary> = JoinSet::new();
    let mut due = Instant::now();
    let mut total = LoadSummary::default();
    for number in 0..plan.requests {
        let uniform: f64 = rng.random();
        due += Duration::from_secs_f64(-(1.0 - uniform).ln() / plan.rate_per_s);
        let len = rng.random_range(1..=plan.body_max_bytes);
        let call = build_call(plan, number, len);
        let at = usize::try_from(number).unwrap_or(0) % callers.len();
        let caller = callers[at].clone();
        tokio::time::sleep_until(due).await;
        work.spawn(async move {
            let result = caller.call(&call).await;
            let us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
            let mut one = LoadSummary::default();
            one.record(&result, &body_for(&call.id, len), us);
            one
        });
        while let Some(Ok(one)) = work.try_join_next() {
            total.merge(&one);
        }
    }
    while let Some(Ok(one)) = work.join_next().await {
        total.merge(&one);
    }
    total
}
