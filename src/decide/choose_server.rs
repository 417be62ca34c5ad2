//! Selection of the backend server for the next request.

use super::ServerLoad;
use super::ServerScope;
use super::server_load::LATENCY_AGE_MAX_US;

/// Score penalty of a stalled server, so that it is selected only if no other has a free slot.
const STALL_PENALTY: f32 = 10.0;
/// Weight of the relative latency in the score; the relative load has weight 1.
const LATENCY_WEIGHT: f32 = 0.25;
/// Maximum excess of the relative latency that counts.
const LATENCY_RATIO_MAX: f32 = 4.0;
/// A mean latency of up to this many medians is normal, as service times vary.
const NORMAL_LATENCY_RATIO: f32 = 2.0;

/// Fraction of the server's slots in use plus penalties for slowness; lower is better.
fn score(load: &ServerLoad, median_us: f32, now_us: u64) -> f32 {
    #[expect(clippy::cast_precision_loss, reason = "counts are at most 10,000")]
    let utilization = load.load(now_us) as f32 / load.current_limit(now_us) as f32;
    let stall = if load.stalled(median_us, now_us) { STALL_PENALTY } else { 0.0 };
    utilization + stall + LATENCY_WEIGHT * slowness(load, median_us, now_us)
}

/// Excess of the server's mean latency over the normal one, in medians, decaying with the age of
/// its last sample. Differences within the normal range are ignored: otherwise a quiet service
/// would send all requests to one server, and the latencies of the others would never be updated.
fn slowness(load: &ServerLoad, median_us: f32, now_us: u64) -> f32 {
    if median_us <= 0.0 {
        return 0.0;
    }
    let excess =
        (load.latency_us() / median_us - NORMAL_LATENCY_RATIO).clamp(0.0, LATENCY_RATIO_MAX);
    #[expect(clippy::cast_precision_loss, reason = "an age")]
    let age = load.latency_age_us(now_us) as f32 / LATENCY_AGE_MAX_US as f32;
    excess * (1.0 - age).max(0.0)
}

/// Maximum number of servers compared, which bounds the time of a decision for large services.
const COMPARED_MAX: usize = 64;

/// The server with the lowest score among those with a free slot; `None` if there is none.
///
/// Compares up to [`COMPARED_MAX`] servers from the random position `start` on, and further ones
/// only until the first with a free slot. Services of usual size are compared completely.
#[must_use]
pub fn choose_server(
    loads: &[ServerLoad],
    scope: ServerScope,
    tried: &[usize],
    median_us: f32,
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
        if !load.has_free_slot(scope, now_us) || tried.contains(&index) {
            continue;
        }
        let candidate_score = score(load, median_us, now_us);
        if candidate_score < best_score {
            best = Some(index);
            best_score = candidate_score;
        }
    }
    best
}
