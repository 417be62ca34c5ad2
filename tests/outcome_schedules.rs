//! At-most-once execution over random schedules of the outcome table: repeats, every kind of
//! outcome, dropped runs, expiry, and planned stops whose hand-over messages arrive late, twice or
//! not at all.

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use sorrelwick::clock::now_ms;
use sorrelwick::conf::OutcomeSettings;
use sorrelwick::errors::Code;
use sorrelwick::outcome::KeyDecision;
use sorrelwick::outcome::OutcomeTable;
use sorrelwick::outcome::OwnerSnapshot;
use sorrelwick::outcome::RecordedOutcome;
use sorrelwick::outcome::RunGuard;

mod common;

use common::property;

const OWNER: u64 = 1;
const SUCCESSOR: u64 = 2;
const SERVICE: &str = "orders";

/// The table of one process, that of its possible successor, and the runs so far.
struct Scenario {
    owner: OutcomeTable,
    successor: OutcomeTable,
    owner_started_ms: u64,
    /// Hand-over parts not yet delivered: the part, whether it is the last, and when it was sent.
    in_transit: Vec<(OwnerSnapshot, bool, u64)>,
    running: Vec<(String, RunGuard)>,
    /// By key: runs that were started and did not end as not run.
    runs: HashMap<String, u32>,
    closed: bool,
}

impl Scenario {
    fn new(settings: &OutcomeSettings) -> Self {
        Self {
            owner: OutcomeTable::new(OWNER, settings),
            successor: OutcomeTable::new(SUCCESSOR, settings),
            owner_started_ms: now_ms(),
            in_transit: Vec::new(),
            running: Vec::new(),
            runs: HashMap::new(),
            closed: false,
        }
    }

    /// A caller sends a new or known key to the owner or to its possible successor.
    fn send(&mut self, u: &mut Unstructured<'_>, settings: &OutcomeSettings) -> Result<()> {
        let now_epoch = (now_ms() - self.owner_started_ms) / settings.epoch_ms;
        let epoch = u.int_in_range(0..=now_epoch)?;
        let key = format!("{OWNER:016x}-{epoch:x}-{}", u.int_in_range(0..=3)?);
        let table = if u.ratio(1, 2)? { &self.owner } else { &self.successor };
        if let KeyDecision::Run(guard) = table.begin(OWNER, epoch, SERVICE, &key) {
            let runs = self.runs.entry(key.clone()).or_insert(0);
            *runs += 1;
            assert_eq!(*runs, 1, "{key} runs a second time");
            self.running.push((key, guard));
        }
        Ok(())
    }

    fn end_one_run(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.running.is_empty() {
            return Ok(());
        }
        let at = u.choose_index(self.running.len())?;
        let (key, guard) = self.running.swap_remove(at);
        match u.int_in_range(0..=3)? {
            0 => guard.finish(RecordedOutcome::AnswerNotKept),
            1 => guard.finish(RecordedOutcome::Unknown(Code::AnswerLost)),
            2 => drop(guard),
            _ => {
                guard.not_run();
                self.runs.insert(key, 0);
            }
        }
        Ok(())
    }

    /// A planned stop: once nothing runs any more, the outcomes are handed over in two parts.
    fn hand_over(&mut self) {
        if self.closed || !self.running.is_empty() {
            return;
        }
        self.closed = true;
        for record in self.owner.close() {
            let half = record.rows.len() / 2;
            let first = OwnerSnapshot { rows: record.rows[..half].to_vec(), ..record.clone() };
            let second = OwnerSnapshot { rows: record.rows[half..].to_vec(), ..record };
            self.in_transit.push((first, false, now_ms()));
            self.in_transit.push((second, true, now_ms()));
        }
    }

    /// Delivers the next part, which may stay queued and so be delivered again.
    fn deliver_next(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some((part, last, sent_ms)) = self.in_transit.first().cloned() else {
            return Ok(());
        };
        // The receiver knows the owner's start from earlier pings; its estimate may be late by less
        // than an epoch, but never early.
        let born_ms = sent_ms - part.uptime_ms + u.int_in_range(0..=400)?;
        self.successor.adopt(part, born_ms, last);
        if !u.ratio(1, 4)? {
            self.in_transit.remove(0);
        }
        Ok(())
    }
}

async fn run_schedule(u: &mut Unstructured<'_>) -> Result<()> {
    let settings =
        OutcomeSettings { epoch_ms: 1_000, window_epochs: 3, ..OutcomeSettings::default() };
    let mut world = Scenario::new(&settings);
    for _ in 0..u.int_in_range(1..=120)? {
        match u.int_in_range(0..=9)? {
            0..=3 => world.send(u, &settings)?,
            4..=5 => world.end_one_run(u)?,
            6 => world.hand_over(),
            7 => world.deliver_next(u)?,
            _ => {
                tokio::time::advance(Duration::from_millis(u.int_in_range(0..=900)?)).await;
                world.owner.expire(OWNER);
                world.successor.expire(SUCCESSOR);
            }
        }
    }
    Ok(())
}

/// No key runs twice, whatever callers, instances and the network do, in whatever order.
#[test]
fn no_schedule_runs_a_key_twice() {
    property(2_000, |u| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(run_schedule(u))
    });
}
