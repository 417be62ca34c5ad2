//! Addresses for a daemon that is started as a process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// Below the ports of outgoing connections.
const PORT_BASE: u16 = 7_000;

/// Starts so far in this process, for one of which each address is.
static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// Addresses that nobody else of this machine takes: on a loopback address of the daemon's own, below
/// the ports that the system gives out.
///
/// Ports that were bound here and let go were taken before the daemon had them: by callers and servers
/// of other tests, and by processes that other tests were just starting, which hold a copy of each
/// socket until they run their own program.
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
