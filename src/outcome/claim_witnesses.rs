//! Claims on plain keys, as instances remember them for each other.

use std::collections::HashMap;

use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_128;

use super::KeyPrefix;
use crate::clock::now_ms;
use crate::conf::OutcomeSettings;

/// A recorded claim.
#[derive(Clone, Copy, Debug)]
struct WitnessedClaim {
    owner: KeyPrefix,
    recorded_ms: u64,
}

/// The claims that this instance remembers for others, by [`claim_hash`].
#[derive(Debug)]
pub struct ClaimWitnesses {
    claims: Mutex<HashMap<u128, WitnessedClaim>>,
    /// More claims than this are not remembered.
    rows_max: usize,
    /// How long a claim is remembered: as long as its key is accepted.
    window_ms: u64,
}

/// The hash by which instances refer to a key of a service; the key itself is not sent.
#[must_use]
pub fn claim_hash(service: &str, key: &str) -> u128 {
    xxh3_128(format!("{service}\0{key}").as_bytes())
}

impl ClaimWitnesses {
    /// Creates an empty record.
    #[must_use]
    pub fn new(settings: &OutcomeSettings) -> Self {
        let window_ms = settings.epoch_ms.saturating_mul(settings.window_epochs + 1);
        Self { claims: Mutex::default(), rows_max: settings.rows_max, window_ms }
    }

    /// Records that `owner` has claimed a key; returns the owner recorded first.
    pub fn record(&self, claim: u128, owner: KeyPrefix) -> KeyPrefix {
        let mut claims = self.claims.lock();
        if let Some(known) = claims.get(&claim) {
            return known.owner;
        }
        if claims.len() < self.rows_max {
            claims.insert(claim, WitnessedClaim { owner, recorded_ms: now_ms() });
        }
        owner
    }

    /// Forgets claims on keys that are no longer accepted.
    pub fn expire(&self) {
        let now_ms = now_ms();
        let is_current =
            |claim: &WitnessedClaim| now_ms.saturating_sub(claim.recorded_ms) < self.window_ms;
        self.claims.lock().retain(|_, claim| is_current(claim));
    }
}
