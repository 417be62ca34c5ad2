//! Simple baseline policies for comparison.

/// The next server in turn, whatever its load.
#[must_use]
pub const fn round_robin(turn: u64, servers: usize) -> Option<usize> {
    if servers == 0 {
        return None;
    }
    #[expect(clippy::cast_possible_truncation, reason = "below the number of servers")]
    let index = (turn % servers as u64) as usize;
    Some(index)
}

/// The server with the fewest own requests in flight; the first of equals.
#[must_use]
pub fn least_in_flight(in_flight: &[u32]) -> Option<usize> {
    let rows = in_flight.iter().enumerate();
    rows.min_by_key(|(_, count)| **count).map(|(index, _)| index)
}
