//! Simulates quotas over all instances in virtual time: the total stays within the bound whatever
//! instances believe of each other, and without faults no request below the quota is rejected.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a few hundred instances, a few thousand requests"
)]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sorrelwick::quota::QuotaHome;
use sorrelwick::quota::QuotaPlacement;
use sorrelwick::quota::QuotaTolerance;
use sorrelwick::quota::Quotas;
use sorrelwick::workspace::Workspace;

const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window_s: 5.0, overage_fraction: 0.1, slack_requests: 20.0 };
/// `TOLERANCE.window_s` in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Number of seeds; `SORRELWICK_SCHEDULES` overrides it.
const DEFAULT_SEED_COUNT: u64 = 24;
/// Step of the virtual time.
const STEP_MS: u64 = 5;
/// Time from a fault, or its end, until an instance notices it.
const VIEW_LAG_MS: std::ops::Range<u64> = 100..1_500;
/// Virtual time per seed.
const RUN_MS: u64 = 30_000;
/// Virtual time at the start.
const START_MS: u64 = 1_000_000;
/// How long a request waits until the placement is known.
const PLACEMENT_WAIT_MS: u64 = 400;
const ZONES: usize = 4;

/// State of an instance, and its quotas as placed by its view of the others.
struct Instance {
    zone: usize,
    incarnation: u64,
    running: bool,
    /// Partition; instances of the same group reach each other.
    group: usize,
    quotas: Quotas,
    /// Requests that wait for a token, by the time at which they give up.
    waiting: VecDeque<u64>,
    /// When requests arrived that wait until the placement is known.
    arrived_early: Vec<u64>,
    /// Whether it is short of tokens and borrows some.
    borrows: bool,
    /// When it next updates its view; `u64::MAX` if nothing changed.
    view_update_at_ms: u64,
}

/// All instances, and the load of one workspace.
struct Model {
    instances: Vec<Instance>,
    homes_per_zone: usize,
    workspace: Workspace,
    rng: Pcg64,
    now_ms: u64,
    /// Times at which requests were sent to a server.
    sent_at_ms: Vec<u64>,
    /// Number of requests that callers sent to instances.
    received: u64,
    /// Probability that a message between instances is lost.
    message_loss: f64,
    /// Questions for tokens that instances sent.
    questions: u64,
}

fn zone_name(zone: usize) -> Arc<str> {
    format!("z{zone}").into()
}

fn address_of_index(at: usize) -> SocketAddr {
    ([10, 0, (at >> 8) as u8, (at & 0xff) as u8], 7_000).into()
}

impl Model {
    fn new(count: usize, homes_per_zone: usize, rate_per_s: f64, seed: u64) -> Self {
        let instance = |at: usize| Instance {
            zone: at % ZONES,
            incarnation: at as u64 + 1,
            running: true,
            group: 0,
            quotas: Quotas::new(TOLERANCE, START_MS * 1_000 - 250_000),
            waiting: VecDeque::new(),
            arrived_early: Vec::new(),
            borrows: false,
            view_update_at_ms: 0,
        };
        let workspace = Workspace {
            name: "mill".into(),
            priority: None,
            rate_per_s,
            burst: rate_per_s,
            key_hashes: Vec::new(),
        };
        Self {
            instances: (0..count).map(instance).collect(),
            homes_per_zone,
            workspace,
            rng: Pcg64::seed_from_u64(seed),
            now_ms: START_MS,
            sent_at_ms: Vec::new(),
            received: 0,
            message_loss: 0.0,
            questions: 0,
        }
    }

    const fn now_us(&self) -> u64 {
        self.now_ms * 1_000
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.instances[from], &self.instances[to]);
        from.running && to.running && from.group == to.group
    }

    fn in_zone(&self, zone: usize) -> impl Iterator<Item = usize> {
        (0..self.instances.len()).filter(move |at| at % ZONES == zone)
    }

    /// The homes of a zone as seen by an instance.
    fn homes_seen_by(&self, seen_by: usize, zone: usize) -> Vec<usize> {
        let seen = self.in_zone(zone).filter(|at| self.reaches(seen_by, *at));
        seen.take(self.homes_per_zone).collect()
    }

    /// Updates an instance's view to the instances that it reaches now.
    fn update_view(&mut self, at: usize) {
        let zone = self.instances[at].zone;
        let seen = self.in_zone(zone).filter(|other| self.reaches(at, *other)).count();
        let of_zone = self.in_zone(zone).count();
        let homes = (0..ZONES).flat_map(|zone| self.homes_seen_by(at, zone));
        let home = |at: usize| QuotaHome {
            zone: zone_name(at % ZONES),
            incarnation: self.instances[at].incarnation,
            peer: address_of_index(at),
        };
        let placement = QuotaPlacement {
            zones: (0..ZONES).map(zone_name).collect(),
            own_zone: zone_name(zone),
            own_incarnation: self.instances[at].incarnation,
            homes: homes.map(home).collect(),
            sees_zone_majority: 2 * seen > of_zone,
        };
        let now_us = self.now_us();
        self.instances[at].quotas.set_placement(placement, now_us);
        self.instances[at].view_update_at_ms = u64::MAX;
        self.receive_early_requests(at);
    }

    fn schedule_view_updates(&mut self) {
        for at in 0..self.instances.len() {
            let lag_ms = self.rng.random_range(VIEW_LAG_MS);
            self.instances[at].view_update_at_ms = self.now_ms + lag_ms;
        }
    }

    /// Restarts an instance, which forgets the tokens that it spent.
    fn restart(&mut self, at: usize) {
        let now_us = self.now_us();
        let instance = &mut self.instances[at];
        instance.running = true;
        instance.incarnation += 1_000;
        instance.quotas = Quotas::new(TOLERANCE, now_us);
        instance.waiting.clear();
        instance.arrived_early.clear();
        instance.borrows = false;
    }

    /// Handles the requests that waited until the placement is known.
    fn receive_early_requests(&mut self, at: usize) {
        let earliest_ms = self.now_ms - PLACEMENT_WAIT_MS;
        let arrived = std::mem::take(&mut self.instances[at].arrived_early);
        for _ in arrived.into_iter().filter(|arrived_ms| *arrived_ms >= earliest_ms) {
            self.receive_request(at);
        }
    }

    /// Handles a request that arrives at an instance.
    fn receive_request(&mut self, at: usize) {
        if !self.instances[at].running {
            return;
        }
        let now_us = self.now_us();
        if !self.instances[at].quotas.placement_known() {
            self.instances[at].arrived_early.push(self.now_ms);
            return;
        }
        let Err(out) = self.instances[at].quotas.take(&self.workspace, now_us) else {
            self.sent_at_ms.push(self.now_ms);
            return;
        };
        self.instances[at].borrows = true;
        if let Some(wait_ms) = out.wait_ms {
            let until_ms = self.now_ms + wait_ms;
            self.instances[at].waiting.push_back(until_ms);
        }
    }

    /// One round of questions of an instance that is short of tokens, and its waiting requests.
    fn borrow(&mut self, at: usize) {
        let now_us = self.now_us();
        let round = self.instances[at].quotas.borrow_round(&self.workspace, now_us);
        for question in round.questions {
            self.questions += 1;
            let lent = self.ask(at, question.lender, question.wanted);
            let quotas = &self.instances[at].quotas;
            quotas.record_answer(&self.workspace, question.lender, lent, now_us);
        }
        let instance = &mut self.instances[at];
        instance.borrows = round.short;
        while let Some(until_ms) = instance.waiting.front().copied() {
            let taken = instance.quotas.take_waiting(&self.workspace, now_us);
            if taken {
                self.sent_at_ms.push(self.now_ms);
            }
            if !taken && until_ms > self.now_ms {
                break;
            }
            instance.waiting.pop_front();
            instance.quotas.end_wait(&self.workspace);
        }
    }

    /// Asks a lender; the question or its answer may be lost.
    fn ask(&mut self, at: usize, lender: SocketAddr, wanted: f64) -> f64 {
        let SocketAddr::V4(v4) = lender else { unreachable!("all addresses are IPv4") };
        let [_, _, high, low] = v4.ip().octets();
        let lender = usize::from(high) << 8 | usize::from(low);
        if !self.reaches(at, lender) || self.rng.random_bool(self.message_loss) {
            return 0.0;
        }
        let now_us = self.now_us();
        let lent = self.instances[lender].quotas.lend(&self.workspace, wanted, now_us);
        if self.rng.random_bool(self.message_loss) { 0.0 } else { lent }
    }

    /// Sends `per_s` requests per second from callers of these zones, for `for_ms`.
    fn run_load(&mut self, for_ms: u64, per_s: f64, zones: &[usize]) {
        let end_ms = self.now_ms + for_ms;
        let mut due = 0.0;
        while self.now_ms < end_ms {
            for at in 0..self.instances.len() {
                if self.now_ms >= self.instances[at].view_update_at_ms {
                    self.update_view(at);
                }
            }
            due += per_s * STEP_MS as f64 / 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                let zone = zones[self.rng.random_range(0..zones.len())];
                // A few callers use an outdated address; the others use a home as seen by some
                // instance.
                let of_zone: Vec<usize> = self.in_zone(zone).collect();
                let any = of_zone[self.rng.random_range(0..of_zone.len())];
                let homes = self.homes_seen_by(any, zone);
                let stale = homes.is_empty() || self.rng.random_bool(0.02);
                let at = if stale { any } else { homes[self.rng.random_range(0..homes.len())] };
                self.received += 1;
                self.receive_request(at);
            }
            for at in 0..self.instances.len() {
                if self.instances[at].running && self.instances[at].borrows {
                    self.borrow(at);
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    /// Highest number of requests that were sent in any window.
    fn max_sent_in_window(&self) -> usize {
        let mut first = 0;
        let mut max_sent = 0;
        for (last, at_ms) in self.sent_at_ms.iter().enumerate() {
            while self.sent_at_ms[first] + WINDOW_MS <= *at_ms {
                first += 1;
            }
            max_sent = max_sent.max(last + 1 - first);
        }
        max_sent
    }

    fn allowed_in_window(&self) -> f64 {
        let in_window = self.workspace.rate_per_s.mul_add(TOLERANCE.window_s, self.workspace.burst);
        in_window.mul_add(1.0 + TOLERANCE.overage_fraction, TOLERANCE.slack_requests)
    }
}

/// Injects a random fault: a partition, stopped instances, a restart, message loss, or recovery
/// from all.
fn inject_fault(model: &mut Model) {
    let count = model.instances.len();
    match model.rng.random_range(0..5) {
        0 => {
            let partitioned_zone = model.rng.random_range(0..ZONES);
            for instance in &mut model.instances {
                instance.group = usize::from(instance.zone == partitioned_zone);
            }
        }
        1 => {
            for at in 0..count {
                if model.rng.random_bool(0.3) {
                    model.instances[at].running = false;
                }
            }
        }
        2 => {
            // The first home of a zone restarts, as in a rolling restart.
            let zone = model.rng.random_range(0..ZONES);
            if let Some(home) = model.homes_seen_by(0, zone).first().copied() {
                model.restart(home);
            }
        }
        3 => model.message_loss = model.rng.random_range(0.0..0.5),
        _ => {
            for at in 0..count {
                model.instances[at].group = 0;
                if !model.instances[at].running {
                    model.restart(at);
                }
            }
        }
    }
    model.schedule_view_updates();
}

fn seed_count() -> u64 {
    let given = std::env::var("SORRELWICK_SCHEDULES").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED_COUNT)
}

/// Guards against a customer getting several times its quota while zones are partitioned, homes
/// change or messages are lost.
#[test]
fn faults_do_not_raise_a_workspace_above_its_bound() {
    for seed in 0..seed_count() {
        let mut schedule_rng = Pcg64::seed_from_u64(seed);
        let count = [8, 40, 140, 500][schedule_rng.random_range(0..4)];
        let homes_per_zone = [1, 2, 8][schedule_rng.random_range(0..3)];
        let rate_per_s = [1.5, 12.0, 160.0][schedule_rng.random_range(0..3)];
        let mut model = Model::new(count, homes_per_zone, rate_per_s, seed);
        (0..count).for_each(|at| model.update_view(at));
        let end_ms = model.now_ms + RUN_MS;
        while model.now_ms < end_ms {
            let for_ms = schedule_rng.random_range(300..4_000);
            let below_quota = schedule_rng.random_bool(0.3);
            let per_s = rate_per_s * if below_quota { 0.6 } else { 7.5 };
            let zones: &[usize] = if schedule_rng.random_bool(0.5) { &[0, 1, 2, 3] } else { &[1] };
            model.run_load(for_ms, per_s, zones);
            inject_fault(&mut model);
        }
        let (max_sent, allowed) = (model.max_sent_in_window(), model.allowed_in_window());
        assert!(
            max_sent as f64 <= allowed,
            "seed {seed}: {max_sent} of {allowed} in a window; {count} instances, \
             {homes_per_zone} homes, {rate_per_s}/s"
        );
    }
}

/// Guards against rejecting callers within their quota because its tokens are at instances that
/// they do not call.
#[test]
fn whole_quota_is_usable_from_one_zone_or_all_without_faults() {
    for (rate_per_s, homes_per_zone) in [(12.0, 1), (160.0, 1), (160.0, 8), (12.0, 8), (1.5, 2)] {
        for zones in [&[0, 1, 2, 3][..], &[2]] {
            let mut model = Model::new(140, homes_per_zone, rate_per_s, 7);
            (0..140).for_each(|at| model.update_view(at));
            model.run_load(5_000, rate_per_s * 0.6, zones);
            let (received, sent) = (model.received, model.sent_at_ms.len());
            let sent_fraction = sent as f64 / received as f64;
            println!(
                "{rate_per_s}/s, {homes_per_zone} homes, zones {zones:?}: {sent_fraction:.3} sent"
            );
            assert!(
                sent_fraction > 0.99,
                "{rate_per_s}/s, {homes_per_zone} homes, {zones:?}: {sent_fraction}"
            );
            let before = model.sent_at_ms.len();
            model.run_load(20_000, rate_per_s * 3.0, zones);
            let used = (model.sent_at_ms.len() - before) as f64 / (20.0 * rate_per_s);
            println!("  {used:.3} of the quota used");
            assert!(used > 0.95, "{rate_per_s}/s, {homes_per_zone} homes, {zones:?}: {used}");
        }
    }
}

/// Fraction of the tokens that callers of these zones get, who ask for `times` their number, and
/// the questions a second.
fn use_of_tokens(mut model: Model, zones: &[usize], times: f64) -> (f64, f64) {
    (0..model.instances.len()).for_each(|at| model.update_view(at));
    let tokens_per_s = TOLERANCE.tokens_per_s(&model.workspace);
    model.run_load(2_000, tokens_per_s * times, zones);
    let (sent, questions) = (model.sent_at_ms.len(), model.questions);
    let span_s = (300.0 / tokens_per_s).clamp(5.0, 120.0);
    model.run_load((span_s * 1_000.0) as u64, tokens_per_s * times, zones);
    let sent = (model.sent_at_ms.len() - sent) as f64;
    let questions = (model.questions - questions) as f64;
    assert!(model.max_sent_in_window() as f64 <= model.allowed_in_window());
    (sent / (span_s * tokens_per_s), questions / span_s)
}

fn assert_nearly_all_tokens_used(rate_per_s: f64, homes_per_zone: usize, times: f64) {
    for zones in [&[2][..], &[0, 1, 2, 3], &[0, 0, 0, 0, 0, 0, 1, 2, 3]] {
        let model = Model::new(140, homes_per_zone, rate_per_s, 11);
        let (used, questions_per_s) = use_of_tokens(model, zones, times);
        let load = format!("{rate_per_s}/s, {homes_per_zone} homes, zones {zones:?}");
        println!("{load}: {used:.3} of the tokens used, {questions_per_s:.0} questions/s");
        assert!(used >= 0.95, "{load}: {used}");
    }
}

/// Guards against tokens running over at holders that the callers of a workspace do not ask, while
/// others refuse them.
#[test]
fn nearly_all_tokens_are_used_wherever_callers_are() {
    for rate_per_s in [1.5, 12.0, 480.0] {
        for homes_per_zone in [1, 2] {
            assert_nearly_all_tokens_used(rate_per_s, homes_per_zone, 5.0);
        }
    }
}

/// Guards against tokens running over when many homes hold a few each.
#[test]
fn nearly_all_tokens_are_used_with_many_holders() {
    for rate_per_s in [1.5, 12.0, 480.0] {
        assert_nearly_all_tokens_used(rate_per_s, 8, 5.0);
    }
}

/// Guards against tokens running over at a workspace with a high rate.
#[test]
fn nearly_all_tokens_of_a_high_rate_are_used() {
    for homes_per_zone in [1, 2, 8] {
        assert_nearly_all_tokens_used(5_000.0, homes_per_zone, 1.5);
    }
}

/// Guards against questions that grow with the number of instances, or with each request. An
/// instance that gets a few requests by an outdated address asks each holder once for them.
#[test]
fn questions_for_tokens_do_not_grow_with_the_fleet_or_the_load() {
    let questions_per_s = |count, times| {
        let model = Model::new(count, 1, 480.0, 5);
        use_of_tokens(model, &[0, 0, 0, 1, 2, 3], times).1
    };
    println!("8 instances: {:.0} questions/s", questions_per_s(8, 3.0));
    let few = questions_per_s(40, 3.0);
    for count in [140, 500] {
        let many = questions_per_s(count, 3.0);
        println!("40 instances: {few:.0} questions/s, {count}: {many:.0}");
        assert!(many <= few * 1.3, "{count} instances: {many}, 40: {few}");
    }
    for times in [3.0, 12.0] {
        let many = questions_per_s(40, times);
        // Homes ask the three others at most 20 times a second.
        let bound = (0.02 * 576.0 * times).mul_add(4.0, 4.0 * 3.0 * 20.0);
        println!("{times} times the tokens: {many:.0} questions/s of {bound:.0}");
        assert!(many <= bound, "{times} times the tokens: {many} of {bound}");
    }
}

/// Guards against memory that grows with all workspaces that ever had a caller.
#[test]
fn buckets_that_are_not_in_use_are_dropped() {
    let mut model = Model::new(8, 1, 12.0, 5);
    model.update_view(0);
    let quotas = &model.instances[0].quotas;
    for at in 0..10_000 {
        let workspace = Workspace { name: format!("w{at}").into(), ..model.workspace.clone() };
        if quotas.take(&workspace, model.now_us()).is_err_and(|out| out.wait_ms.is_some()) {
            quotas.end_wait(&workspace);
        }
    }
    assert_eq!(quotas.bucket_count(), 10_000);
    model.now_ms += 10_000;
    model.update_view(0);
    let left = model.instances[0].quotas.bucket_count();
    println!("{left} of 10000 buckets left");
    assert_eq!(left, 0);
}

/// Guards against an instance that keeps borrowed tokens and spends them in a later window.
#[test]
fn borrowed_tokens_expire_unused() {
    let mut model = Model::new(8, 1, 480.0, 5);
    model.update_view(0);
    let (quotas, now_us) = (&model.instances[0].quotas, model.now_us());
    let lender = address_of_index(1);
    while quotas.take(&model.workspace, now_us).is_ok() {}
    quotas.record_answer(&model.workspace, lender, 40.0, now_us);
    assert!(quotas.take(&model.workspace, now_us).is_ok());
    let later_us = now_us + 10_000_000;
    let mut taken = 0;
    while quotas.take(&model.workspace, later_us).is_ok() {
        taken += 1;
    }
    let own_max = (TOLERANCE.tokens_max(&model.workspace) / ZONES as f64) as usize;
    assert_eq!(taken, own_max);
}

/// Restarts these instances, which know the others after these times.
fn restart_all(model: &mut Model, instances: &[usize], view_lag_ms: std::ops::Range<u64>) {
    for at in instances.iter().copied() {
        model.restart(at);
        let lag_ms = model.rng.random_range(view_lag_ms.clone());
        model.instances[at].view_update_at_ms = model.now_ms + lag_ms;
    }
}

/// Guards against refusing callers within their quota after all instances were killed at once.
#[test]
fn callers_within_the_quota_are_served_after_all_instances_restart() {
    for seed in 0..4 {
        let mut model = Model::new(140, 1, 480.0, seed);
        (0..140).for_each(|at| model.update_view(at));
        model.run_load(5_000, 480.0 * 0.7, &[0, 1, 2, 3]);
        let all: Vec<usize> = (0..140).collect();
        restart_all(&mut model, &all, 200..380);
        let (received, sent) = (model.received, model.sent_at_ms.len());
        model.run_load(2_000, 480.0 * 0.7, &[0, 1, 2, 3]);
        let (received, sent) = (model.received - received, model.sent_at_ms.len() - sent);
        println!("seed {seed}: {sent} of {received} sent after the restart");
        assert!(sent as f64 >= 0.97 * received as f64, "seed {seed}: {sent} of {received}");
    }
}

/// Guards against a customer getting more than its quota from instances that have forgotten what
/// was spent: all at once, twice within a window, one zone, or one after the other.
#[test]
fn restarts_do_not_raise_a_workspace_above_its_bound() {
    for seed in 0..seed_count() {
        let mut rng = Pcg64::seed_from_u64(seed);
        let homes_per_zone = [1, 2, 8][rng.random_range(0..3)];
        let rate_per_s = [1.5, 12.0, 480.0][rng.random_range(0..3)];
        let mut model = Model::new(40, homes_per_zone, rate_per_s, seed);
        (0..40).for_each(|at| model.update_view(at));
        let all: Vec<usize> = (0..40).collect();
        let zone: Vec<usize> = model.in_zone(1).collect();
        let load = |model: &mut Model, ms| model.run_load(ms, rate_per_s * 7.5, &[0, 1, 2, 3]);
        // Full buckets are spent at the start of a window, and the restart falls into it.
        load(&mut model, 4_000);
        model.now_ms += 2_000;
        load(&mut model, rng.random_range(300..4_800));
        match seed % 4 {
            0 => restart_all(&mut model, &all, 50..450),
            1 => {
                restart_all(&mut model, &all, 50..450);
                load(&mut model, 1_500);
                restart_all(&mut model, &all, 50..450);
            }
            2 => restart_all(&mut model, &zone, 50..1_500),
            _ => {
                for at in all {
                    restart_all(&mut model, &[at], 50..450);
                    load(&mut model, 100);
                }
            }
        }
        load(&mut model, 6_000);
        let (max_sent, allowed) = (model.max_sent_in_window(), model.allowed_in_window());
        println!("seed {seed}: {max_sent} of {allowed:.0}, {homes_per_zone} homes, {rate_per_s}/s");
        assert!(max_sent as f64 <= allowed, "seed {seed}: {max_sent} of {allowed}");
    }
}

/// Guards against instances that start together, know no other instance yet, and each grant the
/// whole quota.
#[test]
fn instances_without_known_members_grant_no_tokens() {
    let mut model = Model::new(500, 1, 12.0, 3);
    model.instances.iter_mut().for_each(|one| one.view_update_at_ms = u64::MAX);
    model.run_load(1_000, 1_000.0, &[0, 1, 2, 3]);
    assert_eq!(model.sent_at_ms.len(), 0);
}
