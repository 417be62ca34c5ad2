//! Grants of the own tokens to the homes that can use them.

use super::Purse;
use super::Seat;
use super::purse::tokens_of_seat;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::peer::GrantRequest;

/// Tokens granted for each service asked. None while the seat may end before the grant does:
/// its next holder would spend the same tokens.
#[must_use]
pub fn grant(board: &Blackboard, seat: &Seat, purse: &Purse, asked: &GrantRequest) -> Vec<u32> {
    let now = now_ms();
    let until_ms = now + board.settings.measuring.grant_ms;
    let number = seat.current(now).filter(|_| seat.until_ms() >= until_ms);
    let services = board.services();
    let granted = asked.services.iter().map(|name| {
        let (Some(number), Some(state)) = (number, services.get(name)) else {
            return 0;
        };
        let seats = board.settings.measuring.seats;
        let count = tokens_of_seat(state.spec.measuring_budget_per_s, number, seats);
        let given =
            !state.am_home && count > 0 && purse.grant_own(name, board.incarnation, until_ms, now);
        if given { count } else { 0 }
    });
    granted.collect()
}
