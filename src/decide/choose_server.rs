//! Which backend server gets the next request.

use super::ServerLoad;
use super::ServerScope;
use super::server_load::LATENCY_AGE_MAX_US;

/// Added to the load of a stalled server, so that it is taken only when no other has a slot.
const STALL_PENALTY: f32 = 10.0;
/// Weight of relative latency against relative load.
const LATENCY_WEIGHT: f32 = 0.25;
const LATENCY_RATIO_MAX: f32 = 4.0;
/// An average up to so many medians is usual where service times are spread.
const NORMAL_LATENCY_RATIO: f32 = 2.0;

/// How much a server's slots are taken, raised by signs of slowness; lower is better.
fn score(load: &ServerLoad, typical_us: f32, now_us: u64) -> f32 {
    #[expect(clippy::cast_precision_loss, reason = "counts are at most 10,000")]
    let taken = load.load(now_us) as f32 / load.current_limit(now_us) as f32;
    let stall = if load.stalled(typical_us, now_us) { STALL_PENALTY } else { 0.0 };
    taken + stall + LATENCY_WEIGHT * slowness(load, typical_us, now_us)
}

/// By how much a server's answers came later than is usual, fading with their age. Differences
/// within the usual count for nothing: they would send all traffic of a quiet service to one
/// server, and the others' figures would never be refreshed.
fn slowness(load: &ServerLoad, typical_us: f32, now_us: u64) -> f32 {
    if typical_us <= 0.0 {
        return 0.0;
    }
    let excess =
        (load.latency_us() / typical_us - NORMAL_LATENCY_RATIO).clamp(0.0, LATENCY_RATIO_MAX);
    #[expect(clippy::cast_precision_loss, reason = "an age")]
    let age = load.latency_age_us(now_us) as f32 / LATENCY_AGE_MAX_US as f32;
    excess * (1.0 - age).max(0.0)
}

/// Servers compared with each other; bounds the time of a decision for large services.
const COMPARED_MAX: usize = 64;

/// The free server with the lowest score, or `None` when no slot is free.
///
/// Up to 64 servers from `start` on, which is random, are compared; further ones only until the
/// first free one. A service of today's sizes is compared whole.
#[must_use]
pub fn choose_server(
    loads: &[ServerLoad],
    reach: ServerScope,
    avoid: &[usize],
    typical_us: f32,
    start: usize,
    now_us: u64,
) -> Option<usize> {
    let count = loads.len();
    let mut best = None;
    let mut best_score = f32::INFINITY;
    let offset = if count == 0 { 0 } else { start % count };
    for (seen, index) in (offset..count).chain(0..offset).enumerate() {
        if seen >= COMPARED_MAX && best.is_some() {
            break;
        }
        let load = &loads[index];
        if !load.has_free_slot(reach, now_us) || avoid.contains(&index) {
            continue;
        }
        let score = score(load, typical_us, now_us);
        if score < best_score {
            best = Some(index);
            best_score = score;
        }
    }
    best
}
