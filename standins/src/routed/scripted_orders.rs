//! Gateway instances in front of scripted servers of orders.

use std::time::Duration;

use tokio::time::Instant;

use super::CONFIG_KEY;
use super::GatewayFleet;
use super::PathFault;
use super::RawResponse;
use super::ScriptedServer;
use super::two_routes;

const WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What to start.
#[derive(Clone, Copy, Debug)]
pub struct ScriptedOrdersPlan {
    pub servers: usize,
    /// Largest body that callers may send.
    pub body_bytes_max: usize,
    /// Whether instances connect to the servers themselves, not through paths of their own.
    pub direct: bool,
}

impl Default for ScriptedOrdersPlan {
    fn default() -> Self {
        Self { servers: 1, body_bytes_max: 1 << 20, direct: false }
    }
}

/// A fleet and its servers of orders. The last of several instances has no path to them, so that another
/// one passes its requests on.
#[derive(Debug)]
pub struct ScriptedOrders {
    pub fleet: GatewayFleet,
    pub servers: Vec<ScriptedServer>,
    /// The last instance.
    pub last: usize,
}

impl ScriptedOrders {
    /// Starts one instance for each of `zones`, and the servers in the first of them.
    ///
    /// # Panics
    /// If the last instance serves no order within 10 s.
    pub async fn start(zones: &[&str], plan: ScriptedOrdersPlan) -> Self {
        let fleet = GatewayFleet::start(zones).await;
        let last = zones.len() - 1;
        let mut orders = Self { fleet, servers: Vec::new(), last };
        for number in 0..plan.servers {
            orders.add_server(&format!("o{number}"), zones[0], plan.direct).await;
        }
        let limits = format!("\"limits\":{{\"body_bytes_max\":{}}}", plan.body_bytes_max);
        let config = two_routes(1).replace("\"limits\":{}", &limits);
        orders.fleet.store.put(CONFIG_KEY, &config);
        orders.fleet.wait_until_ready().await;
        if last > 0 {
            orders.fleet.paths[last].set_fault(PathFault::Reset);
        }
        orders.until_served().await;
        orders
    }

    async fn add_server(&mut self, id: &str, zone: &str, direct: bool) {
        let server = ScriptedServer::spawn().await;
        for (at, paths) in self.fleet.paths.iter().enumerate() {
            let is_cut_off = self.last > 0 && at == self.last;
            if is_cut_off || !direct {
                paths.add(server.address).await;
            }
        }
        let entry = serde_json::json!({
            "service": "orders", "address": server.address, "zone": zone, "slots": 4,
            "state": "ready", "started_ms": 0,
        });
        self.fleet.store.put(&format!("servers/{id}"), &entry.to_string());
        self.servers.push(server);
    }

    /// Requests that reached any server.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.servers.iter().map(ScriptedServer::requests).sum()
    }

    /// Waits until the last instance serves an order.
    ///
    /// # Panics
    /// If it serves none within 10 s.
    pub async fn until_served(&self) {
        let until = Instant::now() + WAIT;
        while self.fleet.call(self.last, "POST /order/warm", "warm", b"").await.status != 200 {
            assert!(Instant::now() < until, "not served");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends orders to the last instance until one has reached a server; returns its answer, and how
    /// long it took. The instance refuses orders for a while after a server's failure.
    ///
    /// # Panics
    /// If none reaches a server within 10 s, or one that does not is answered otherwise than refused.
    pub async fn order_at_server(&self, body: &[u8]) -> (RawResponse, Duration) {
        let until = Instant::now() + WAIT;
        loop {
            let before = self.requests();
            let began = Instant::now();
            let (line, id) = (format!("POST /order/{before}"), format!("order-{before}"));
            let response = self.fleet.call(self.last, &line, &id, body).await;
            if self.requests() > before {
                return (response, began.elapsed());
            }
            assert_eq!(response.status, 503, "{response:?}");
            assert!(Instant::now() < until, "no order reaches a server");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
