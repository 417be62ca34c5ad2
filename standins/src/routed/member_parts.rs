//! What tables of members are tried with, without network.

use std::net::SocketAddr;

use sorrelwick::member::MemberRow;
use sorrelwick::member::MemberState;

/// Ports of so many members differ.
const PORT_COUNT: u64 = 1_000;

/// A member that has just started.
///
/// # Panics
/// Never: the port is within its range.
#[must_use]
pub fn member_row(incarnation: u64) -> MemberRow {
    let port = u16::try_from(10_000 + incarnation % PORT_COUNT).expect("a port");
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    MemberRow {
        incarnation,
        generation: 0,
        state: MemberState::Alive,
        name: format!("i{incarnation}"),
        zone: "z".into(),
        caller_address: address,
        operator_address: address,
        peer_address: address,
        capacity_per_s: 100,
        uptime_ms: 5,
        successor: None,
    }
}
