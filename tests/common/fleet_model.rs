//! Instances in virtual time that stop, restart and lose sight of each other.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

pub const ZONES: usize = 4;
/// Number of seeds; `SORRELWICK_SCHEDULES` overrides it.
const DEFAULT_SEED_COUNT: u64 = 24;

/// Where an instance is, and whom it reaches.
#[derive(Clone, Copy)]
pub struct Place {
    pub zone: usize,
    pub incarnation: u64,
    pub running: bool,
    /// Partition; instances of the same group reach each other.
    pub group: usize,
}

/// What may happen to a fleet.
#[derive(Clone, Copy)]
pub enum Fault {
    /// One zone is cut off from the others, and whatever was cut off is no longer.
    ZoneCut,
    /// Some instances stop.
    Stops,
    /// The first home of a zone restarts, as in a rolling restart.
    Restart,
    /// Some messages are lost from now on.
    MessageLoss,
    /// All is well again; instances that had stopped restart.
    Recovery,
}

pub struct FleetModel {
    pub places: Vec<Place>,
    pub homes_per_zone: usize,
    pub rng: Pcg64,
    pub now_ms: u64,
    /// Probability that a message between instances is lost.
    pub message_loss: f64,
}

pub fn seed_count() -> u64 {
    let given = std::env::var("SORRELWICK_SCHEDULES").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED_COUNT)
}

impl Fault {
    pub const ALL: [Self; 5] =
        [Self::ZoneCut, Self::Stops, Self::Restart, Self::MessageLoss, Self::Recovery];
}

impl FleetModel {
    pub fn new(count: usize, homes_per_zone: usize, seed: u64) -> Self {
        let place = |at: usize| Place {
            zone: at % ZONES,
            incarnation: at as u64 + 1,
            running: true,
            group: 0,
        };
        Self {
            places: (0..count).map(place).collect(),
            homes_per_zone,
            rng: Pcg64::seed_from_u64(seed),
            now_ms: 1_000_000,
            message_loss: 0.0,
        }
    }

    pub const fn now_us(&self) -> u64 {
        self.now_ms * 1_000
    }

    pub fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.places[from], &self.places[to]);
        from.running && to.running && from.group == to.group
    }

    pub fn in_zone(&self, zone: usize) -> impl Iterator<Item = usize> {
        (0..self.places.len()).filter(move |at| at % ZONES == zone)
    }

    /// The homes of a zone as seen by an instance.
    pub fn homes_seen_by(&self, seen_by: usize, zone: usize) -> Vec<usize> {
        let seen = self.in_zone(zone).filter(|at| self.reaches(seen_by, *at));
        seen.take(self.homes_per_zone).collect()
    }

    /// The instance that a caller of a zone sends to: a home as seen by some instance, or any if
    /// the caller uses an outdated address.
    pub fn called_instance(&mut self, zone: usize) -> usize {
        let mut of_zone: Vec<usize> = self.in_zone(zone).collect();
        if of_zone.is_empty() {
            of_zone = (0..self.places.len()).collect();
        }
        let any = of_zone[self.rng.random_range(0..of_zone.len())];
        let homes = self.homes_seen_by(any, zone);
        let stale = homes.is_empty() || self.rng.random_bool(0.02);
        if stale { any } else { homes[self.rng.random_range(0..homes.len())] }
    }

    /// Marks an instance as restarted.
    fn restart(&mut self, at: usize) {
        self.places[at].running = true;
        self.places[at].incarnation += 1_000;
    }

    /// Injects one of these faults. An instance that has restarted has another incarnation.
    pub fn inject_fault(&mut self, faults: &[Fault]) {
        match faults[self.rng.random_range(0..faults.len())] {
            Fault::ZoneCut => {
                let partitioned_zone = self.rng.random_range(0..ZONES);
                for place in &mut self.places {
                    place.group = usize::from(place.zone == partitioned_zone);
                }
            }
            Fault::Stops => {
                for place in &mut self.places {
                    if self.rng.random_bool(0.3) {
                        place.running = false;
                    }
                }
            }
            Fault::Restart => {
                let zone = self.rng.random_range(0..ZONES);
                if let Some(home) = self.homes_seen_by(0, zone).first().copied() {
                    self.restart(home);
                }
            }
            Fault::MessageLoss => self.message_loss = self.rng.random_range(0.0..0.5),
            Fault::Recovery => {
                for at in 0..self.places.len() {
                    self.places[at].group = 0;
                    if !self.places[at].running {
                        self.restart(at);
                    }
                }
            }
        }
    }
}
