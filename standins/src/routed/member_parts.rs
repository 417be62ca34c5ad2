//! Member rows for tests of the member table without a network.

use std::net::SocketAddr;

use sorrelwick::member::MemberRow;
use sorrelwick::member::MemberState;

/// Number of distinct ports; members with higher incarnations reuse them.
const PORT_COUNT: u64 = 1_000;

/// Row of an alive member, 5 ms after its start.
///
/// # Panics
/// Never: the port fits into 16 bits.
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
        reaches_servers: true,
        uptime_ms: 5,
        successor: None,
    }
}
