//! Event loop of the simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sorrelwick::decide::Admission;
use sorrelwick::decide::AttemptOutcome;
use sorrelwick::decide::QueueView;
use sorrelwick::decide::ServerScope;
use sorrelwick::decide::baseline;
use sorrelwick::decide::decide_admission;
use sorrelwick::decide::hedge_delay_us;
use sorrelwick::model::Preference;

use super::Policy;
use super::Scene;
use super::TrialOutcome;
use super::server::AttemptId;
use super::server::Server;
use super::world::Attempt;
use super::world::Home;
use super::world::Request;
use super::world::SECOND_US;
use super::world::START_US;
use super::world::homes_for;
use super::world::servers_of;

const QUEUE_MAX: usize = 1_000;
/// One-way latency within a zone.
const SAME_ZONE_US: u64 = 100;
const FAILURE_WORK_US: f64 = 100.0;
const WARM_UP_US: u64 = 2_000_000;
/// Reports of free slots older than this are ignored.
const REPORT_MAX_AGE_US: u64 = 300_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// A request arrives at a home, from a caller or forwarded by another home.
    AtHome {
        home: usize,
        request: usize,
        forwarded: bool,
    },
    AtServer {
        attempt: AttemptId,
    },
    Done {
        attempt: AttemptId,
    },
    /// The response arrives at the home.
    Back {
        attempt: AttemptId,
    },
    Cancel {
        attempt: AttemptId,
    },
    Hedge {
        request: usize,
    },
    GiveUp {
        request: usize,
        home: usize,
    },
    SendReport {
        home: usize,
    },
    ReceiveReport {
        to: usize,
        from: usize,
        free: u32,
    },
}

struct Model<'a> {
    scene: &'a Scene,
    policy: Policy,
    now_us: u64,
    end_us: u64,
    cross_zone_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: Pcg64Mcg,
    servers: Vec<Server>,
    homes: Vec<Home>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    outcome: TrialOutcome,
}

/// Simulates a scene with one policy.
#[must_use]
pub fn run_trial(scene: &Scene, policy: Policy) -> TrialOutcome {
    let mut model = Model::new(scene, policy);
    model.run();
    model.outcome
}

impl<'a> Model<'a> {
    fn new(scene: &'a Scene, policy: Policy) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(scene.seed);
        let servers = servers_of(scene, &mut rng);
        let homes = homes_for(scene, policy, &servers);
        Self {
            scene,
            policy,
            now_us: START_US,
            end_us: START_US + scene.seconds * SECOND_US,
            cross_zone_us: scene.size.shape().2,
            events: BinaryHeap::new(),
            sequence: 0,
            rng,
            servers,
            homes,
            requests: Vec::new(),
            attempts: Vec::new(),
            outcome: TrialOutcome::default(),
        }
    }

    fn schedule(&mut self, us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((us, self.sequence, event)));
    }

    fn one_way_us(&self, from: usize, to: usize) -> u64 {
        // The oracle policy has no network latency of its own.
        let free = self.policy == Policy::Oracle;
        if from == to || free { SAME_ZONE_US } else { self.cross_zone_us }
    }

    fn run(&mut self) {
        self.schedule(START_US, Event::Arrive);
        if self.policy.forwards_new_requests() {
            for home in 0..self.homes.len() {
                self.schedule(START_US + 1 + home as u64, Event::SendReport { home });
            }
        }
        while let Some(Reverse((us, _, event))) = self.events.pop() {
            self.now_us = us;
            match event {
                Event::Arrive => self.arrive(),
                Event::AtHome { home, request, forwarded } => {
                    self.at_home(home, request, forwarded);
                }
                Event::AtServer { attempt } => self.at_server(attempt),
                Event::Done { attempt } => self.done(attempt),
                Event::Back { attempt } => self.back(attempt),
                Event::Cancel { attempt } => self.cancel(attempt),
                Event::Hedge { request } => self.hedge(request),
                Event::GiveUp { request, home } => self.give_up(request, home),
                Event::SendReport { home } => self.send_reports(home),
                Event::ReceiveReport { to, from, free } => self.receive_report(to, from, free),
            }
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() * mean
    }

    fn load_now(&self) -> f64 {
        let second = (self.now_us - START_US) / SECOND_US;
        match self.scene.overload_s {
            Some((from, to, load)) if (from..to).contains(&second) => load,
            _ => self.scene.load,
        }
    }

    fn arrive(&mut self) {
        if self.now_us >= self.end_us {
            return;
        }
        let pick: f64 = self.rng.random();
        let zones = self.scene.zones;
        let zone = usize::from(pick >= zones[0]) + usize::from(pick >= zones[0] + zones[1]);
        let request = self.requests.len();
        self.requests.push(Request {
            zone,
            due_us: self.now_us,
            open: true,
            waiting: false,
            tries: 0,
            attempts: Vec::new(),
        });
        if self.now_us >= START_US + WARM_UP_US {
            self.outcome.requests += 1;
        }
        let home = self.home_for(zone);
        let way = self.one_way_us(zone, self.homes[home].zone);
        self.schedule(self.now_us + way, Event::AtHome { home, request, forwarded: false });
        let slots: usize = self.servers.iter().map(|server| server.slots).sum();
        #[expect(clippy::cast_precision_loss, reason = "a rate")]
        let gap = self.scene.mean_work_us / (slots as f64 * self.load_now());
        let gap = self.exponential(gap);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a gap")]
        let gap = gap as u64;
        self.schedule(self.now_us + gap, Event::Arrive);
    }

    fn home_for(&mut self, zone: usize) -> usize {
        let in_zone: Vec<usize> =
            (0..self.homes.len()).filter(|at| self.homes[*at].zone == zone).collect();
        if in_zone.is_empty() {
            return self.rng.random_range(0..self.homes.len());
        }
        in_zone[self.rng.random_range(0..in_zone.len())]
    }

    fn at_home(&mut self, home: usize, request: usize, forwarded: bool) {
        if !forwarded {
            self.homes[home].pool.hedge_budget.record_request();
            self.homes[home].pool.retry_budget.record_request();
        }
        if !self.policy.queues_at_home() {
            let server = self.pick_server(home);
            return self.start_attempt(home, request, server);
        }
        if self.homes[home].queue.is_empty()
            && let Some(server) = self.acquire_slot(home, &[])
        {
            return self.start_attempt(home, request, server);
        }
        if self.policy.forwards_new_requests() && !forwarded && self.forward(home, request) {
            return;
        }
        self.enqueue(home, request);
    }

    /// Takes a free slot, if there is one. The oracle policy reads the state of the servers directly.
    fn acquire_slot(&mut self, home: usize, avoid: &[usize]) -> Option<usize> {
        if self.policy != Policy::Oracle {
            return self.homes[home].pool.acquire_slot(ServerScope::Own, avoid, self.now_us);
        }
        let now = self.now_us;
        let in_flight = &self.homes[home].in_flight;
        let free = (0..self.servers.len()).filter(|at| {
            (in_flight[*at] as usize) < self.servers[*at].slots && !self.servers[*at].fails
        });
        free.min_by_key(|at| (self.servers[*at].is_slow_at(now), in_flight[*at]))
    }

    fn pick_server(&mut self, home: usize) -> usize {
        let count = self.servers.len();
        let home = &mut self.homes[home];
        home.round_robin_turn += 1;
        match self.policy {
            Policy::SprayRoundRobin => {
                baseline::round_robin(home.round_robin_turn, count).unwrap_or(0)
            }
            Policy::SprayTwoChoices => {
                let (a, b) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
                if home.in_flight[b] < home.in_flight[a] { b } else { a }
            }
            _ => {
                let start = self.rng.random_range(0..count);
                let order = (start..count).chain(0..start);
                order.min_by_key(|at| home.in_flight[*at]).unwrap_or(0)
            }
        }
    }

    fn forward(&mut self, home: usize, request: usize) -> bool {
        let now = self.now_us;
        let reports = &mut self.homes[home].free_slot_reports;
        let fresh = (0..reports.len()).find(|at| {
            *at != home && reports[*at].0 > 0 && now - reports[*at].1 < REPORT_MAX_AGE_US
        });
        let Some(to) = fresh else {
            return false;
        };
        reports[to].0 -= 1;
        self.outcome.forwarded += 1;
        let way = self.one_way_us(self.homes[home].zone, self.homes[to].zone);
        self.schedule(now + way, Event::AtHome { home: to, request, forwarded: true });
        true
    }

    fn enqueue(&mut self, home: usize, request: usize) {
        let waited = self.now_us - self.requests[request].due_us;
        let queue_is_empty = self.homes[home].queue.is_empty();
        let view = QueueView {
            waiting: self.homes[home].queue.len(),
            queue_age_us: self.homes[home].queue_age.join(queue_is_empty, self.now_us),
            waiting_max: QUEUE_MAX,
            slots: self.homes[home].pool.usable_slots(ServerScope::Own, &[], self.now_us),
            median_service_us: self.homes[home].pool.median_service_us(),
            remaining_us: self.scene.deadline_us.saturating_sub(waited),
        };
        match decide_admission(&view) {
            Admission::Wait { at_most_us } => {
                self.count_misplaced();
                self.requests[request].waiting = true;
                self.homes[home].queue.push_back(request);
                self.schedule(self.now_us + at_most_us, Event::GiveUp { request, home });
            }
            _ => self.reject(request),
        }
    }

    fn count_misplaced(&mut self) {
        let free = self.servers.iter().any(|s| !s.fails && s.running.len() < s.slots);
        self.outcome.misplaced += u64::from(free);
    }

    fn reject(&mut self, request: usize) {
        self.requests[request].open = false;
        self.outcome.refused += u64::from(self.is_counted(request));
    }

    fn is_counted(&self, request: usize) -> bool {
        self.requests[request].due_us >= START_US + WARM_UP_US
    }

    fn give_up(&mut self, request: usize, home: usize) {
        if !self.requests[request].waiting {
            return;
        }
        let before = self.homes[home].queue.len();
        self.homes[home].queue.retain(|queued| *queued != request);
        if self.homes[home].queue.len() < before {
            self.requests[request].waiting = false;
            self.reject(request);
        }
    }

    fn start_attempt(&mut self, home: usize, request: usize, server: usize) {
        let mean = self.scene.mean_work_us;
        let work_us =
            if self.servers[server].fails { FAILURE_WORK_US } else { self.exponential(mean) };
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            home,
            server,
            work_us,
            began_us: self.now_us,
            open: true,
        });
        self.homes[home].in_flight[server] += 1;
        self.outcome.attempts += 1;
        let first = self.requests[request].attempts.is_empty();
        self.requests[request].attempts.push(attempt);
        let way = self.one_way_us(self.homes[home].zone, self.servers[server].zone);
        self.schedule(self.now_us + way, Event::AtServer { attempt });
        if first && self.policy.hedges() {
            let pool = &self.homes[home].pool;
            let delay = hedge_delay_us(
                Preference::Tail,
                true,
                pool.median_service_us(),
                pool.high_quantile_us(),
            );
            if let Some(delay) = delay {
                self.schedule(self.now_us + delay, Event::Hedge { request });
            }
        }
    }

    fn at_server(&mut self, attempt: AttemptId) {
        let Attempt { server, work_us, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        let begun = self.servers[server].start_or_queue(attempt, work_us, self.now_us);
        match begun {
            Some(working) => self.schedule(working.ends_us, Event::Done { attempt }),
            None => self.count_misplaced(),
        }
    }

    fn leave_server(&mut self, attempt: AttemptId) {
        let server = self.attempts[attempt].server;
        if let Some(next) = self.servers[server].remove(attempt, self.now_us) {
            self.schedule(next.ends_us, Event::Done { attempt: next.attempt });
        }
    }

    fn done(&mut self, attempt: AttemptId) {
        let Attempt { server, home, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        self.leave_server(attempt);
        let way = self.one_way_us(self.servers[server].zone, self.homes[home].zone);
        self.schedule(self.now_us + way, Event::Back { attempt });
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.leave_server(attempt);
    }

    fn back(&mut self, attempt: AttemptId) {
        let Attempt { request, home, server, began_us, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        self.attempts[attempt].open = false;
        let failed = self.servers[server].fails;
        let latency_us = self.now_us - began_us;
        let finish =
            if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered { latency_us } };
        self.free_slot(home, server, finish);
        if self.requests[request].open {
            if failed && self.retry(home, request, server) {
                return self.drain(home);
            }
            self.answer(request, home, failed);
        }
        self.drain(home);
    }

    fn free_slot(&mut self, home: usize, server: usize, finish: AttemptOutcome) {
        self.homes[home].in_flight[server] -= 1;
        if self.policy.queues_at_home() && self.policy != Policy::Oracle {
            self.homes[home].pool.release_slot(server, finish, self.now_us);
        }
    }

    fn retry(&mut self, home: usize, request: usize, server: usize) -> bool {
        if !self.policy.queues_at_home() || self.requests[request].tries >= 2 {
            return false;
        }
        if !self.homes[home].pool.retry_budget.try_spend() {
            return false;
        }
        self.requests[request].tries += 1;
        self.outcome.retries += 1;
        match self.acquire_slot(home, &[server]) {
            Some(next) => self.start_attempt(home, request, next),
            None => self.enqueue(home, request),
        }
        true
    }

    fn answer(&mut self, request: usize, home: usize, failed: bool) {
        let way = self.one_way_us(self.homes[home].zone, self.requests[request].zone);
        self.requests[request].open = false;
        let us = self.now_us + way - self.requests[request].due_us;
        if self.is_counted(request) {
            self.outcome.failed += u64::from(failed);
            self.outcome.answered += u64::from(!failed);
            if !failed {
                self.outcome.latency_us.saturating_record(us);
            }
        }
        for other in self.requests[request].attempts.clone() {
            let Attempt { home, server, open, .. } = self.attempts[other];
            if !open {
                continue;
            }
            self.attempts[other].open = false;
            self.free_slot(home, server, AttemptOutcome::Cancelled);
            let way = self.one_way_us(self.homes[home].zone, self.servers[server].zone);
            self.schedule(self.now_us + way, Event::Cancel { attempt: other });
            self.drain(home);
        }
    }

    fn drain(&mut self, home: usize) {
        self.drain_overdue(home);
        while let Some(request) = self.homes[home].queue.front().copied() {
            let Some(server) = self.acquire_slot(home, &[]) else {
                return;
            };
            self.homes[home].queue.pop_front();
            self.requests[request].waiting = false;
            self.start_attempt(home, request, server);
        }
        if let Some((_, to, _)) = self.scene.overload_s {
            let after = START_US + to * SECOND_US;
            let settled = self.homes.iter().all(|home| home.queue.is_empty());
            if self.now_us > after && self.outcome.recovery_ms == 0 && settled {
                self.outcome.recovery_ms = (self.now_us - after) / 1000 + 1;
            }
        }
    }

    fn hedge(&mut self, request: usize) {
        let first = self.requests[request].attempts[0];
        let Attempt { home, server, open, .. } = self.attempts[first];
        if !open || !self.requests[request].open || !self.homes[home].pool.hedge_budget.try_spend()
        {
            return;
        }
        match self.acquire_slot(home, &[server]) {
            Some(second) => {
                self.outcome.hedges += 1;
                self.start_attempt(home, request, second);
            }
            None => self.homes[home].overdue.push_back(request),
        }
    }

    /// Starts hedged attempts that wait for a slot.
    fn drain_overdue(&mut self, home: usize) {
        while let Some(request) = self.homes[home].overdue.front().copied() {
            let first = self.attempts[self.requests[request].attempts[0]];
            if !self.requests[request].open || !first.open {
                self.homes[home].overdue.pop_front();
                continue;
            }
            let Some(second) = self.acquire_slot(home, &[first.server]) else {
                return;
            };
            self.homes[home].overdue.pop_front();
            self.outcome.hedges += 1;
            self.start_attempt(home, request, second);
        }
    }

    fn send_reports(&mut self, home: usize) {
        if self.now_us >= self.end_us {
            return;
        }
        let waiting = u32::try_from(self.homes[home].queue.len()).unwrap_or(u32::MAX);
        let free = self.homes[home].pool.free_slots(self.now_us).saturating_sub(waiting);
        for to in (0..self.homes.len()).filter(|to| *to != home) {
            let way = self.one_way_us(self.homes[home].zone, self.homes[to].zone);
            self.schedule(self.now_us + way, Event::ReceiveReport { to, from: home, free });
        }
        self.schedule(self.now_us + self.scene.report_interval_us, Event::SendReport { home });
    }

    fn receive_report(&mut self, to: usize, from: usize, free: u32) {
        self.homes[to].free_slot_reports[from] = (free, self.now_us);
        if !self.policy.forwards_queued_requests() {
            return;
        }
        while let Some(request) = self.homes[to].queue.front().copied() {
            if !self.forward(to, request) {
                return;
            }
            self.homes[to].queue.pop_front();
            self.requests[request].waiting = false;
        }
    }
}
