//! Unique listen addresses for daemon processes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// Base of the ports; below the range from which the system assigns ephemeral ports.
const PORT_BASE: u16 = 7_000;

/// Second octet of the next address; each daemon started by this process has its own.
static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// Returns addresses that no other process on this machine uses: on a separate loopback address for
/// each daemon, below the ephemeral ports.
///
/// Binding port 0 and releasing it is not enough: before the daemon binds the port, it can be taken by
/// callers and servers of other tests, or still be held by a child process of another test, which has a
/// copy of each socket between fork and exec.
#[must_use]
pub fn unique_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let [.., high, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, NEXT_NETWORK.fetch_add(1, Ordering::Relaxed), high, low);
    let mut port = PORT_BASE;
    [(); COUNT].map(|()| {
        port += 1;
        SocketAddr::from((address, port))
    })
}
