//! The platform's store over Consul's HTTP API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::StatusCode;
use log::error;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::Entry;
use super::HttpClient;
use super::Lease;
use super::Listing;
use super::Roster;
use super::RosterEntry;
use super::Store;
use super::StoreError;
use super::UnreadableEntries;
use super::uri_escape;
use crate::conf::PlatformSettings;
use crate::errors::Code;
use crate::model::is_connectable;

/// Response header that carries the store's index.
const INDEX_HEADER: &str = "x-consul-index";
/// Name under which the platform's catalog lists the instances of sorrelwick.
const INSTANCES: &str = "sorrelwick";
/// Name under which the platform's catalog lists backend servers.
const BACKEND_SERVERS: &str = "backend-servers";

/// Characters of a row that are kept of one that cannot be read.
const REPORTED_ROW_MAX_CHARS: usize = 200;

/// A [`Store`] and [`Roster`] over HTTP; clones share connections.
#[derive(Clone, Debug)]
pub struct ConsulStore {
    http: HttpClient,
    /// Rows of the catalog.
    unreadable: Arc<Mutex<UnreadableEntries>>,
}

/// An entry of the key-value API.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KvRow {
    key: String,
    value: Option<String>,
    modify_index: u64,
}

/// An entry of the service catalog.
#[derive(Deserialize)]
struct CatalogRow {
    #[serde(rename = "ServiceID")]
    id: String,
    #[serde(rename = "ServiceAddress")]
    address: String,
    #[serde(rename = "ServicePort")]
    port: u16,
    #[serde(rename = "ServiceMeta", default)]
    meta: CatalogMeta,
}

/// Metadata of a catalog entry.
#[derive(Default, Deserialize)]
struct CatalogMeta {
    #[serde(default)]
    zone: String,
    #[serde(default)]
    state: String,
}

/// The response to the creation of a session.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SessionRow {
    #[serde(rename = "ID")]
    id: String,
}

/// A response with the store's index.
struct Reply {
    status: StatusCode,
    index: u64,
    body: Bytes,
}

fn response_lost(why: impl std::fmt::Display) -> StoreError {
    StoreError::ResponseLost(why.to_string())
}

/// Parses a response body; an invalid one counts as a lost response.
fn parse<'a, T: Deserialize<'a>>(reply: &'a Reply) -> Result<T, StoreError> {
    serde_json::from_slice(&reply.body).map_err(response_lost)
}

/// Turns an error status into an error.
fn expect_ok(reply: Reply) -> Result<Reply, StoreError> {
    if reply.status.is_success() {
        return Ok(reply);
    }
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    // An intermediary may return a 5xx after the store has written; only a 4xx proves that nothing
    // changed.
    if reply.status.is_client_error() {
        return Err(StoreError::Refused(format!("{}: {text}", reply.status)));
    }
    Err(StoreError::ResponseLost(format!("{}: {text}", reply.status)))
}

impl ConsulStore {
    /// Creates a client of the store at the platform's address; it connects on the first call.
    #[must_use]
    pub fn open(platform: &PlatformSettings) -> Self {
        let call_timeout = Duration::from_millis(platform.call_timeout_ms);
        let http = HttpClient::open(platform.address, call_timeout);
        Self { http, unreadable: Arc::default() }
    }

    /// Makes one call. `extra_wait` is the time that the store may hold it, added to the timeout.
    async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        extra_wait: Duration,
    ) -> Result<Reply, StoreError> {
        let reply = self.http.call(method, path, body, extra_wait).await?;
        let index = reply.headers.get(INDEX_HEADER).and_then(|v| v.to_str().ok());
        let index = index.and_then(|text| text.parse().ok()).unwrap_or(0);
        Ok(Reply { status: reply.status, index, body: reply.body })
    }

    /// Makes a PUT whose response body is `true` or `false`.
    async fn put_returning_bool(&self, path: &str, value: &[u8]) -> Result<bool, StoreError> {
        let reply = self.call("PUT", path, value, Duration::ZERO).await?;
        Ok(expect_ok(reply)?.body.trim_ascii() == b"true")
    }

    /// The catalog entries of one service name. Those that cannot be read are skipped, and logged with
    /// `code`.
    async fn list(&self, name: &str, code: Code) -> Result<Vec<RosterEntry>, StoreError> {
        let path = format!("/v1/catalog/service/{name}");
        let reply = expect_ok(self.call("GET", &path, &[], Duration::ZERO).await?)?;
        let rows: Vec<&RawValue> = parse(&reply)?;
        let mut listed = Vec::new();
        for row in rows {
            match roster_entry(row) {
                Ok(entry) => listed.push(entry),
                Err(why) => self.report_unreadable(row.get(), &why, code),
            }
        }
        Ok(listed)
    }

    fn report_unreadable(&self, row: &str, why: &str, code: Code) {
        let row: String = row.chars().take(REPORTED_ROW_MAX_CHARS).collect();
        if self.unreadable.lock().record(&row, why) {
            error!(
                event = "row-unreadable", code = code.number(), row = row.as_str(), why = why;
                "{code}"
            );
        }
    }
}

/// Decodes an entry of the catalog.
fn roster_entry(row: &RawValue) -> Result<RosterEntry, String> {
    let row: CatalogRow = serde_json::from_str(row.get()).map_err(|err| err.to_string())?;
    let ip = row.address.parse().map_err(|_| "ServiceAddress: not an IP address")?;
    let address = SocketAddr::new(ip, row.port);
    if !is_connectable(address) {
        return Err(format!("{address} cannot be connected to"));
    }
    Ok(RosterEntry {
        id: row.id,
        address,
        zone: row.meta.zone,
        leaving: row.meta.state == "leaving",
    })
}

/// The entries of a key-value response; none for a 404.
fn entries(reply: &Reply) -> Result<Vec<Entry>, StoreError> {
    if reply.status == StatusCode::NOT_FOUND {
        return Ok(Vec::new());
    }
    let rows: Vec<KvRow> = parse(reply)?;
    let decode = |row: KvRow| {
        let text = row.value.unwrap_or_default();
        let value = STANDARD.decode(text).map_err(response_lost)?;
        Ok(Entry { key: row.key, value, index: row.modify_index })
    };
    rows.into_iter().map(decode).collect()
}

/// Accepts a success or 404 response.
fn ok_or_not_found(reply: Reply) -> Result<Reply, StoreError> {
    if reply.status == StatusCode::NOT_FOUND { Ok(reply) } else { expect_ok(reply) }
}

impl Store for ConsulStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let path = format!("/v1/kv/{}?consistent", uri_escape(key));
        let reply = ok_or_not_found(self.call("GET", &path, &[], Duration::ZERO).await?)?;
        Ok(entries(&reply)?.into_iter().next())
    }

    async fn watch(&self, prefix: &str, index: u64, wait: Duration) -> Result<Listing, StoreError> {
        let prefix = uri_escape(prefix);
        let path = format!("/v1/kv/{prefix}?recurse&index={index}&wait={}ms", wait.as_millis());
        let reply = ok_or_not_found(self.call("GET", &path, &[], wait).await?)?;
        if index > 0 && reply.index == index {
            // The wait timed out without a change; decoding all entries again is unnecessary.
            return Ok(Listing { index, entries: Vec::new() });
        }
        Ok(Listing { index: reply.index, entries: entries(&reply)? })
    }

    async fn put_if(&self, key: &str, value: &[u8], index: u64) -> Result<bool, StoreError> {
        let path = format!("/v1/kv/{}?cas={index}", uri_escape(key));
        self.put_returning_bool(&path, value).await
    }

    async fn lease_open(&self, ttl: Duration) -> Result<Lease, StoreError> {
        let ttl_s = ttl.as_millis().div_ceil(1000);
        let body = serde_json::json!({
            "TTL": format!("{ttl_s}s"),
            "Behavior": "delete",
            "LockDelay": "0s",
        });
        let body = body.to_string();
        let reply = self.call("PUT", "/v1/session/create", body.as_bytes(), Duration::ZERO).await?;
        let row: SessionRow = parse(&expect_ok(reply)?)?;
        Ok(Lease(row.id))
    }

    async fn lease_renew(&self, lease: &Lease) -> Result<bool, StoreError> {
        let path = format!("/v1/session/renew/{}", uri_escape(&lease.0));
        let reply = ok_or_not_found(self.call("PUT", &path, &[], Duration::ZERO).await?)?;
        Ok(reply.status != StatusCode::NOT_FOUND)
    }

    async fn lease_close(&self, lease: &Lease) -> Result<(), StoreError> {
        let path = format!("/v1/session/destroy/{}", uri_escape(&lease.0));
        self.put_returning_bool(&path, &[]).await.map(|_| ())
    }

    async fn acquire(&self, key: &str, value: &[u8], lease: &Lease) -> Result<bool, StoreError> {
        let path = format!("/v1/kv/{}?acquire={}", uri_escape(key), uri_escape(&lease.0));
        self.put_returning_bool(&path, value).await
    }
}

impl Roster for ConsulStore {
    async fn instances(&self) -> Result<Vec<RosterEntry>, StoreError> {
        self.list(INSTANCES, Code::InstanceUnreadable).await
    }

    async fn backend_servers(&self) -> Result<Vec<RosterEntry>, StoreError> {
        self.list(BACKEND_SERVERS, Code::ServerUnreadable).await
    }
}
