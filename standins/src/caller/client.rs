//! The caller: resolves addresses, keeps connections, sends calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::CallResult;
use super::InstanceAddress;
use super::call_result::AddressResponse;

type Sender = SendRequest<Full<Bytes>>;

const FIXED_ADDRESS_TTL: Duration = Duration::from_hours(24);

/// A request to send.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: String,
    /// Path and query.
    pub path_and_query: String,
    /// Request id, sent as `x-request-id`.
    pub id: String,
    pub key: Option<String>,
    pub timeout_ms: Option<u64>,
    pub body: Bytes,
}

impl Call {
    /// A GET without an idempotency key.
    #[must_use]
    pub fn get(target: &str, id: &str) -> Self {
        Self {
            method: "GET".into(),
            path_and_query: target.into(),
            id: id.into(),
            ..Self::default()
        }
    }

    /// A POST without an idempotency key.
    #[must_use]
    pub fn post(target: &str, id: &str) -> Self {
        Self { method: "POST".into(), ..Self::get(target, id) }
    }

    /// Adds an idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Adds a timeout.
    #[must_use]
    pub const fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = Some(timeout_ms);
        self
    }
}

#[derive(Debug)]
struct CachedAddresses {
    expires_at: Instant,
    addresses: Vec<InstanceAddress>,
}

/// A caller of one service in one zone; clones share connections and cached addresses.
#[derive(Clone, Debug)]
pub struct Caller {
    service: Arc<str>,
    zone: Arc<str>,
    /// Configured instances for the first address query.
    seeds: Arc<[SocketAddr]>,
    cached: Arc<Mutex<Option<CachedAddresses>>>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Caller {
    /// Creates a caller with these instances as seeds.
    #[must_use]
    pub fn new(service: &str, zone: &str, seeds: &[SocketAddr]) -> Self {
        Self {
            service: service.into(),
            zone: zone.into(),
            seeds: seeds.into(),
            cached: Arc::default(),
            idle: Arc::default(),
        }
    }

    /// Creates a caller that always uses one address, such as that of a backend server.
    #[must_use]
    pub fn fixed(service: &str, address: SocketAddr) -> Self {
        let caller = Self::new(service, "", &[]);
        let instance = InstanceAddress { address, zone: String::new(), key_prefix: String::new() };
        let expires_at = Instant::now() + FIXED_ADDRESS_TTL;
        *caller.cached.lock() = Some(CachedAddresses { expires_at, addresses: vec![instance] });
        caller
    }

    /// The addresses to use, best first; queries again when the cached ones have expired.
    pub async fn addresses(&self) -> Vec<InstanceAddress> {
        if let Some(cached) = &*self.cached.lock()
            && Instant::now() < cached.expires_at
        {
            return cached.addresses.clone();
        }
        let mut targets: Vec<SocketAddr> = Vec::new();
        if let Some(cached) = &*self.cached.lock() {
            targets.extend(cached.addresses.iter().map(|instance| instance.address));
        }
        targets.extend(self.seeds.iter());
        for address in targets {
            if let Some(response) = self.resolve_at(address).await {
                let expires_at = Instant::now() + Duration::from_millis(response.keep_ms);
                let addresses = response.addresses.clone();
                *self.cached.lock() =
                    Some(CachedAddresses { expires_at, addresses: response.addresses });
                return addresses;
            }
        }
        Vec::new()
    }

    async fn resolve_at(&self, address: SocketAddr) -> Option<AddressResponse> {
        let (service, zone) = (&self.service, &self.zone);
        let target = format!("/.sorrelwick/v1/addresses?service={service}&zone={zone}");
        let result = self.call_at(address, &Call::get(&target, "")).await;
        let response: AddressResponse = serde_json::from_slice(result.body()).ok()?;
        (!response.addresses.is_empty()).then_some(response)
    }

    /// Sends a call to the best address; tries the next one only if nothing was sent.
    pub async fn call(&self, call: &Call) -> CallResult {
        for instance in self.addresses().await {
            let result = self.call_at(instance.address, call).await;
            if result != CallResult::NotSent {
                return result;
            }
        }
        CallResult::NotSent
    }

    /// Sends a call to the best address with a new idempotency key that has the prefix of that address,
    /// and returns the key.
    pub async fn call_with_new_key(&self, call: &Call) -> (Option<String>, CallResult) {
        let Some(instance) = self.addresses().await.into_iter().next() else {
            return (None, CallResult::NotSent);
        };
        let key = format!("{}-{}", instance.key_prefix, call.id);
        let result = self.call_at(instance.address, &call.clone().with_key(&key)).await;
        (Some(key), result)
    }

    async fn sender(&self, address: SocketAddr) -> Option<Sender> {
        loop {
            let idle = self.idle.lock().get_mut(&address).and_then(Vec::pop);
            let Some(mut sender) = idle else {
                break;
            };
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    fn request(&self, address: SocketAddr, call: &Call) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(call.method.as_str())
            .uri(call.path_and_query.as_str())
            .header("host", address.to_string())
            .header("sorrelwick-service", &*self.service)
            .header("x-request-id", call.id.as_str());
        if let Some(key) = &call.key {
            builder = builder.header("idempotency-key", key.as_str());
        }
        if let Some(timeout_ms) = call.timeout_ms {
            builder = builder.header("sorrelwick-timeout-ms", timeout_ms);
        }
        builder.body(Full::new(call.body.clone())).ok()
    }

    /// Sends a call to one address.
    ///
    /// If a pooled connection turns out to be closed before anything was written, the call is sent on
    /// another one.
    pub async fn call_at(&self, address: SocketAddr, call: &Call) -> CallResult {
        for _ in 0..3 {
            let (Some(mut sender), Some(request)) =
                (self.sender(address).await, self.request(address, call))
            else {
                return CallResult::NotSent;
            };
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut err) => match err.take_message() {
                    Some(_) => continue,
                    None => return CallResult::Broken,
                },
            };
            let status = response.status().as_u16();
            let headers = response.headers().clone();
            let Ok(body) = response.into_body().collect().await else {
                return CallResult::Broken;
            };
            self.idle.lock().entry(address).or_default().push(sender);
            return to_call_result(status, &headers, body.to_bytes());
        }
        CallResult::NotSent
    }
}

fn to_call_result(status: u16, headers: &HeaderMap, body: Bytes) -> CallResult {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    CallResult::Answered {
        status,
        outcome: text("sorrelwick-outcome").unwrap_or("").to_owned(),
        code: text("sorrelwick-code").and_then(|text| text.parse().ok()).unwrap_or(0),
        retry_after_ms: text("sorrelwick-retry-after-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0),
        body,
    }
}
