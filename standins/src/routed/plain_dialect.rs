//! A dialect for tests, with a plain name for each header, key and path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use sorrelwick::gateway::Dialect;
use sorrelwick::gateway::HeaderNames;
use sorrelwick::gateway::InstancePaths;
use sorrelwick::gateway::StoreKeys;
use sorrelwick::model::LoadReport;
use sorrelwick::model::ServerRow;

use super::ServerPaths;

/// Store key of the configuration.
pub const CONFIG_KEY: &str = "operators/config";
/// Prefix of the store keys of zone evacuations.
pub const EVACUATIONS_PREFIX: &str = "operators/evacuations/";

/// Dialect for tests: headers are named after their content, and bodies are the serialized model types.
#[derive(Clone, Debug)]
pub struct PlainDialect {
    header_names: HeaderNames,
    /// The paths through which the instance reaches the servers.
    paths: Arc<ServerPaths>,
}

impl Default for PlainDialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        let header_names = HeaderNames {
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
        Self { header_names, paths: Arc::default() }
    }
}

impl PlainDialect {
    /// The dialect of an instance that reaches the servers through `paths`.
    #[must_use]
    pub fn with_paths(paths: Arc<ServerPaths>) -> Self {
        Self { paths, ..Self::default() }
    }
}

impl Dialect for PlainDialect {
    fn header_names(&self) -> &HeaderNames {
        &self.header_names
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
        let address = self.paths.route(row.address);
        Ok(ServerRow { id: id.into(), address, ..row })
    }

    /// Parses `running,waiting,slots,slowdown_percent`.
    fn parse_load(&self, text: &str) -> Option<LoadReport> {
        let mut numbers = text.split(',').map(|number| number.parse().ok());
        Some(LoadReport {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slowdown_percent: numbers.nth(1)??,
        })
    }

    fn encode_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8> {
        let keep_ms = ttl.as_millis();
        serde_json::json!({ "addresses": addresses, "keep_ms": keep_ms }).to_string().into_bytes()
    }
}
