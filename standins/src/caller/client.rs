//! The caller's connections.

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

/// One request to send.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: String,
    /// Path and query.
    pub path_and_query: String,
    /// Sent as `x-request-id`.
    pub id: String,
    pub key: Option<String>,
    pub timeout_ms: Option<u64>,
    pub body: Bytes,
}

impl Call {
    /// A GET without key.
    #[must_use]
    pub fn get(target: &str, id: &str) -> Self {
        Self {
            method: "GET".into(),
            path_and_query: target.into(),
            id: id.into(),
            ..Self::default()
        }
    }

    /// A POST without key.
    #[must_use]
    pub fn post(target: &str, id: &str) -> Self {
        Self { method: "POST".into(), ..Self::get(target, id) }
    }

    /// The same with an idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// The same with a deadline.
    #[must_use]
    pub const fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = Some(timeout_ms);
        self
    }
}

#[derive(Debug)]
struct CachedAddresses {
    until: Instant,
    addresses: Vec<InstanceAddress>,
}

/// A caller in one zone, of one service; clones share connections and the kept answer.
#[derive(Clone, Debug)]
pub struct Caller {
    service: Arc<str>,
    zone: Arc<str>,
    /// Instances to ask first, from the caller's own settings.
    seeds: Arc<[SocketAddr]>,
    cached: Arc<Mutex<Option<CachedAddresses>>>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Caller {
    /// A caller that knows these instances.
    #[must_use]
    pub fn new(service: &str, zone: &str, known: &[SocketAddr]) -> Self {
        Self {
            service: service.into(),
            zone: zone.into(),
            seeds: known.into(),
            cached: Arc::default(),
            idle: Arc::default(),
        }
    }

    /// A caller that always uses one address, whatever is there; for comparison.
    #[must_use]
    pub fn fixed(service: &str, address: SocketAddr) -> Self {
        let caller = Self::new(service, "", &[]);
        let named = InstanceAddress { address, zone: String::new(), key_prefix: String::new() };
        let until = Instant::now() + FIXED_ADDRESS_TTL;
        *caller.cached.lock() = Some(CachedAddresses { until, addresses: vec![named] });
        caller
    }

    /// The addresses to use, best first; asks anew once the kept answer is over.
    pub async fn addresses(&self) -> Vec<InstanceAddress> {
        if let Some(kept) = &*self.cached.lock()
            && Instant::now() < kept.until
        {
            return kept.addresses.clone();
        }
        let mut asked: Vec<SocketAddr> = Vec::new();
        if let Some(kept) = &*self.cached.lock() {
            asked.extend(kept.addresses.iter().map(|named| named.address));
        }
        asked.extend(self.seeds.iter());
        for address in asked {
            if let Some(answer) = self.resolve_at(address).await {
                let until = Instant::now() + Duration::from_millis(answer.keep_ms);
                let addresses = answer.addresses.clone();
                *self.cached.lock() = Some(CachedAddresses { until, addresses: answer.addresses });
                return addresses;
            }
        }
        Vec::new()
    }

    async fn resolve_at(&self, address: SocketAddr) -> Option<AddressResponse> {
        let (service, zone) = (&self.service, &self.zone);
        let target = format!("/.sorrelwick/v1/addresses?service={service}&zone={zone}");
        let told = self.call_at(address, &Call::get(&target, "")).await;
        let answer: AddressResponse = serde_json::from_slice(told.body()).ok()?;
        (!answer.addresses.is_empty()).then_some(answer)
    }

    /// Sends a call to the best address; tries the next only when nothing was sent.
    pub async fn call(&self, call: &Call) -> CallResult {
        for named in self.addresses().await {
            let told = self.call_at(named.address, call).await;
            if told != CallResult::NotSent {
                return told;
            }
        }
        CallResult::NotSent
    }

    /// Sends a call with a fresh key that is bound to the best address, and returns the key.
    pub async fn call_with_new_key(&self, call: &Call) -> (Option<String>, CallResult) {
        let Some(named) = self.addresses().await.into_iter().next() else {
            return (None, CallResult::NotSent);
        };
        let key = format!("{}-{}", named.key_prefix, call.id);
        let told = self.call_at(named.address, &call.clone().with_key(&key)).await;
        (Some(key), told)
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
    /// A connection that was closed while idle is found so before anything is written on it,
    /// and the call goes over a new one.
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
