//! Plain names for everything that a platform names.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;
use sorrelwick::gateway::Dialect;
use sorrelwick::gateway::HeaderNames;
use sorrelwick::gateway::InstancePaths;
use sorrelwick::gateway::StoreKeys;
use sorrelwick::model::LoadReport;
use sorrelwick::model::ServerRow;

/// Where the operators write, in the stand-in store.
pub const CONFIG_KEY: &str = "operators/config";
pub const EVACUATIONS_PREFIX: &str = "operators/evacuations/";

/// The stand-in's names: fields called what they hold, bodies as the product declares them.
#[derive(Clone, Debug)]
pub struct PlainDialect {
    fields: HeaderNames,
}

impl Default for PlainDialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        let fields = HeaderNames {
            request_id: name("request-id"),
            api_key: name("api-key"),
            workspace: name("workspace"),
            timeout_ms: name("timeout-ms"),
            expected_server: name("expected-server"),
            signature: name("signature"),
            load: name("load"),
            not_run: name("not-run"),
            server_id: name("server-id"),
            warmup_left_ms: name("cold-left-ms"),
            rate_limit: name("rate-limit"),
            draining: name("leaving"),
        };
        Self { fields }
    }
}

impl Dialect for PlainDialect {
    fn header_names(&self) -> &HeaderNames {
        &self.fields
    }

    fn store_keys(&self) -> StoreKeys {
        StoreKeys {
            operators_prefix: "operators/",
            config: CONFIG_KEY,
            evacuations_prefix: EVACUATIONS_PREFIX,
            servers_prefix: "servers/",
            instances_prefix: "instances/",
            suspects_prefix: "suspects/",
        }
    }

    fn instance_paths(&self) -> InstancePaths {
        InstancePaths { addresses: "/addresses", readiness: "/ready", zone_query_param: "zone" }
    }

    fn decode_server(&self, id: &str, value: &[u8]) -> Result<ServerRow, String> {
        let row: ServerRow = serde_json::from_slice(value).map_err(|err| err.to_string())?;
        Ok(ServerRow { id: id.into(), ..row })
    }

    /// Running, waiting, slots and pace.
    fn parse_load(&self, text: &str) -> Option<LoadReport> {
        let mut figures = text.split(',').map(|figure| figure.parse().ok());
        Some(LoadReport {
            running: figures.next()??,
            waiting: figures.next()??,
            slowdown_percent: figures.nth(1)??,
        })
    }

    fn encode_addresses(&self, addresses: &[SocketAddr], keep: Duration) -> Vec<u8> {
        let keep_ms = keep.as_millis();
        serde_json::json!({ "addresses": addresses, "keep_ms": keep_ms }).to_string().into_bytes()
    }
}
