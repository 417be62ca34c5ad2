//! Instances that are stalled themselves, and whether they declare others dead wrongly or too late.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sorrelwick::member::MemberRow;
use sorrelwick::member::MemberTable;
use sorrelwick::member::SuspicionTimer;
use standins::routed::member_row;

/// Observers in the simulation.
const INSTANCES: u64 = 500;
const SUSPECT_TIMEOUT_MS: u64 = 600;
/// One of this many instances is stalled during the suspicion.
const STALLED_EVERY: u64 = 5;
/// Maximum delay until the refutation reaches an instance.
const REFUTATION_DELAY_MAX_MS: u64 = 400;
/// Maximum lateness of the timers of an instance that is not stalled.
const JITTER_MS: u64 = 20;
/// Length of the simulation.
const END_MS: u64 = 6_000;

/// An instance that times a suspicion out, and the times at which it is stalled.
struct Observer {
    members: MemberTable,
    suspicion: SuspicionTimer,
    /// When the next timer tick fires.
    next_ms: u64,
    /// Received messages that are still unread, with their time of arrival.
    unread: Vec<(u64, MemberRow)>,
    /// When this instance is stalled.
    stalled: std::ops::Range<u64>,
    /// When this instance declared the suspect dead.
    dead_ms: Option<u64>,
}

impl Observer {
    fn new(at: u64, suspect: &MemberRow, random: &mut Pcg64) -> Self {
        let mut members = MemberTable::new(member_row(at + 10), 0);
        members.merge(suspect, 0);
        members.suspect(suspect.incarnation, 0);
        let stalled = if at.is_multiple_of(STALLED_EVERY) {
            let from_ms = random.random_range(0..SUSPECT_TIMEOUT_MS);
            from_ms..from_ms + random.random_range(300..3_000)
        } else {
            0..0
        };
        let suspicion = SuspicionTimer::new(SUSPECT_TIMEOUT_MS, 0);
        Self { members, suspicion, next_ms: 0, unread: Vec::new(), stalled, dead_ms: None }
    }

    /// Runs what is due at this time: timers first, then unread messages.
    fn run(&mut self, now_ms: u64, random: &mut Pcg64) {
        if self.stalled.contains(&now_ms) {
            return;
        }
        if now_ms >= self.next_ms {
            let dead = self.suspicion.tick(&mut self.members, now_ms);
            if !dead.is_empty() {
                self.dead_ms.get_or_insert(now_ms);
            }
            let due_ms = u64::try_from(self.suspicion.tick_interval().as_millis()).expect("small");
            self.next_ms = now_ms + due_ms + random.random_range(0..JITTER_MS);
        }
        let members = &mut self.members;
        self.unread.retain(|(arrived_ms, message)| {
            let read = *arrived_ms < now_ms;
            if read {
                members.merge(message, now_ms);
            }
            !read
        });
    }
}

/// All observers suspect the same instance at time 0; if it lives, its refutation arrives shortly
/// after.
fn simulate(alive: bool, seed: u64) -> Vec<Observer> {
    let mut random = Pcg64::seed_from_u64(seed);
    let suspect = member_row(1);
    let refutation = MemberRow { generation: 1, ..suspect.clone() };
    let observers = (0..INSTANCES).map(|at| Observer::new(at, &suspect, &mut random));
    let mut observers: Vec<Observer> = observers.collect();
    if alive {
        for observer in &mut observers {
            observer
                .unread
                .push((random.random_range(0..REFUTATION_DELAY_MAX_MS), refutation.clone()));
        }
    }
    for now_ms in 0..END_MS {
        for observer in &mut observers {
            observer.run(now_ms, &mut random);
        }
    }
    observers
}

/// Guards against a stalled instance that declares a live member dead whose refutation it has not
/// read yet.
#[test]
fn a_stalled_instance_declares_no_live_member_dead() {
    for seed in 0..20 {
        let observers = simulate(true, seed);
        let wrong = observers.iter().filter(|observer| observer.dead_ms.is_some()).count();
        assert_eq!(wrong, 0, "seed {seed}: {wrong} of {INSTANCES} declared it dead");
    }
}

/// Guards against a dead instance that stays a suspect for much longer than the timeout, on
/// observers that were stalled for a while and on those that were not.
#[test]
fn a_dead_instance_is_declared_dead_in_time() {
    for observer in simulate(false, 1) {
        let dead_ms = observer.dead_ms.expect("declared dead in the end");
        if observer.stalled.is_empty() {
            assert!(dead_ms < SUSPECT_TIMEOUT_MS + 250, "after {dead_ms} ms");
        } else {
            let since_ms = dead_ms.saturating_sub(observer.stalled.end);
            assert!(since_ms < SUSPECT_TIMEOUT_MS + 250, "{since_ms} ms after the stall");
        }
    }
}
