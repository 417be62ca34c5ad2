//! The names and formats of a platform, implemented by its adapter.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;

use super::ParsedConfig;
use super::RouteTable;
use crate::model::LoadReport;
use crate::model::ServerRow;
use crate::workspace::redact_keys;

/// Names of the headers exchanged with callers and backend servers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller. Backend servers echo it.
    pub request_id: HeaderName,
    /// The API key that identifies the caller's workspace; never forwarded.
    pub api_key: HeaderName,
    /// Tells a backend server the workspace of a request. A value sent by the caller is replaced.
    pub workspace: HeaderName,
    /// Milliseconds that the sender of a request keeps waiting.
    pub timeout_ms: HeaderName,
    /// Id of the backend server that a request is meant for. Other servers refuse it.
    pub expected_server: HeaderName,
    /// Present on responses that the backend server itself produced by running the request.
    pub signature: HeaderName,
    /// Load of a backend server, parsed by [`Dialect::parse_load`].
    pub load: HeaderName,
    /// Present if the backend server did not run the request.
    pub not_run: HeaderName,
    /// Id of the backend server, on health check responses.
    pub server_id: HeaderName,
    /// Milliseconds of warm-up that the backend server has left, on health check responses while it
    /// warms up.
    pub warmup_left_ms: HeaderName,
    /// Requests per second, as a decimal number, that a backend server accepts from all instances
    /// together; present while it sets such a limit.
    pub rate_limit: HeaderName,
    /// Present on all responses of a backend server that drains.
    pub draining: HeaderName,
}

/// Keys of the platform's store that the gateway reads and writes.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// Prefix of the keys that operators write: the configuration and the evacuations.
    pub operators_prefix: &'static str,
    pub config: &'static str,
    /// Prefix of evacuation keys, followed by the availability zone. A zone is evacuated while its
    /// key exists.
    pub evacuations_prefix: &'static str,
    /// Prefix of backend server keys, followed by the server id.
    pub servers_prefix: &'static str,
    /// Prefix of instance keys, which the instances write themselves.
    pub instances_prefix: &'static str,
    /// Prefix of the keys of requests suspected of crashing backend servers, which the instances
    /// write themselves.
    pub suspects_prefix: &'static str,
}

/// Paths of an instance that the platform calls.
#[derive(Clone, Copy, Debug)]
pub struct InstancePaths {
    pub addresses: &'static str,
    pub readiness: &'static str,
    /// Query parameter of `addresses` that names the caller's zone.
    pub zone_query_param: &'static str,
}

/// The names and formats of one platform. It only translates and makes no decisions.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Names of the HTTP headers.
    fn header_names(&self) -> &HeaderNames;

    /// Keys of the store.
    fn store_keys(&self) -> StoreKeys;

    /// Paths served by an instance.
    fn instance_paths(&self) -> InstancePaths;

    /// Decodes a version of the operators' configuration, falling back on `before` for parts that
    /// are unreadable. The default reads the product's own format.
    ///
    /// # Errors
    /// Why the configuration as a whole cannot be read.
    fn decode_config(
        &self,
        value: &[u8],
        before: Option<&RouteTable>,
    ) -> Result<ParsedConfig, String> {
        RouteTable::parse(value, before)
    }

    /// Encodes a version of the configuration with its keys replaced by their hashes, as it is
    /// stored and passed to other instances. [`Dialect::decode_config`] reads it.
    fn redact_config(&self, value: Vec<u8>) -> Vec<u8> {
        redact_keys(value)
    }

    /// Decodes the entry of a backend server.
    ///
    /// # Errors
    /// What cannot be read.
    fn decode_server(&self, id: &str, value: &[u8]) -> Result<ServerRow, String>;

    /// Parses the load that a backend server reports.
    fn parse_load(&self, text: &str) -> Option<LoadReport>;

    /// Encodes the list of instance addresses for callers, and how long they may keep it.
    fn encode_addresses(&self, addresses: &[SocketAddr], keep: Duration) -> Vec<u8>;
}
