//! What a platform calls the things that a gateway says and hears; implemented by its adapter.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;

use super::ParsedConfig;
use super::RouteTable;
use crate::model::LoadReport;
use crate::model::ServerRow;
use crate::workspace::redact_keys;

/// Header fields between callers, gateway and backend servers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; echoed by backend servers.
    pub request_id: HeaderName,
    /// The key by which a caller's workspace is told; never sent on.
    pub api_key: HeaderName,
    /// Tells a backend server whose request it is; set here, whatever the caller sent.
    pub workspace: HeaderName,
    /// Milliseconds that the sender still waits.
    pub timeout_ms: HeaderName,
    /// Names the backend server that a request is meant for; others refuse it.
    pub expected_server: HeaderName,
    /// Present on answers made by a backend server's own work.
    pub signature: HeaderName,
    /// Load of a backend server, read by [`Dialect::parse_load`].
    pub load: HeaderName,
    /// Present when the backend server did not run the request.
    pub not_run: HeaderName,
    /// Id of the backend server, on health answers.
    pub server_id: HeaderName,
    /// Milliseconds for which a backend server stays cold, on health answers of those that are.
    pub warmup_left_ms: HeaderName,
    /// Requests a second, as a decimal number, that a backend server takes from all instances together;
    /// present while it names such a limit.
    pub rate_limit: HeaderName,
    /// Present on all answers of a backend server that leaves.
    pub draining: HeaderName,
}

/// Where the platform's store keeps what the gateway reads and writes.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// Keys that the operators write begin so: the configuration and the evacuations.
    pub operators_prefix: &'static str,
    pub config: &'static str,
    /// Keys of evacuations begin so; the availability zone follows. One is in force while its key is
    /// there.
    pub evacuations_prefix: &'static str,
    /// Keys of backend servers begin so; their id follows.
    pub servers_prefix: &'static str,
    /// Keys of instances begin so; written by the instances themselves.
    pub instances_prefix: &'static str,
    /// Keys of requests that crash backend servers begin so; written by the instances themselves.
    pub suspects_prefix: &'static str,
}

/// Paths that the platform calls on an instance.
#[derive(Clone, Copy, Debug)]
pub struct InstancePaths {
    pub addresses: &'static str,
    pub readiness: &'static str,
    /// Field of the query of `addresses` that names the caller's zone.
    pub zone_query_param: &'static str,
}

/// One platform's names and formats. It translates and decides nothing.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Names of header fields.
    fn header_names(&self) -> &HeaderNames;

    /// Keys of the store.
    fn store_keys(&self) -> StoreKeys;

    /// Paths of an instance.
    fn instance_paths(&self) -> InstancePaths;

    /// A version of the operators' configuration, in the light of the one before; as the product
    /// writes it, unless a platform writes it otherwise.
    ///
    /// # Errors
    /// Says why nothing of it can be read.
    fn decode_config(
        &self,
        value: &[u8],
        before: Option<&RouteTable>,
    ) -> Result<ParsedConfig, String> {
        RouteTable::parse(value, before)
    }

    /// A version of the configuration with the hashes of keys in their place, as it is kept and handed
    /// on; read by [`Dialect::decode_config`].
    fn redact_config(&self, value: Vec<u8>) -> Vec<u8> {
        redact_keys(value)
    }

    /// A listed backend server.
    ///
    /// # Errors
    /// Says what cannot be read.
    fn decode_server(&self, id: &str, value: &[u8]) -> Result<ServerRow, String>;

    /// The load that a backend server tells.
    fn parse_load(&self, text: &str) -> Option<LoadReport>;

    /// The answer to callers that ask which addresses to use, and how long to keep it.
    fn encode_addresses(&self, addresses: &[SocketAddr], keep: Duration) -> Vec<u8>;
}
