//! Handlers for the platform's readiness checks and for callers that ask which addresses to use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;

use super::Admission;
use super::Dialect;
use super::caller_handler::CurrentRouteTable;
use super::homes::HomesPlan;
use super::homes::homes_of_zone;
use crate::board::Blackboard;
use crate::board::Phase;
use crate::conf::GatewaySettings;
use crate::listener::ConnLimits;
use crate::listener::Handler;

/// How long callers may cache an address response while this instance knows no other. It can only
/// name itself then, and callers would go on using it after the others, which may be the homes, are
/// found.
const ADDRESS_TTL_ALONE: Duration = Duration::from_millis(200);
/// Time limit for a request head, and for the idle time before it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Limits of the connections to these handlers.
const CONN_LIMITS: ConnLimits = ConnLimits {
    header_bytes_max: 16 << 10,
    header_timeout: REQUEST_TIMEOUT,
    idle_timeout: REQUEST_TIMEOUT,
};

fn respond(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Answers whether the instance is ready for requests.
#[derive(Clone, Debug)]
pub struct ReadinessHandler<D> {
    pub dialect: D,
    pub board: Arc<Blackboard>,
    pub table: CurrentRouteTable,
}

impl<D: Dialect> Handler for ReadinessHandler<D> {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != self.dialect.instance_paths().readiness {
            return respond(StatusCode::NOT_FOUND, Vec::new());
        }
        let ready = self.board.phase() == Phase::Running && self.table.load().is_some();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        respond(status, Vec::new())
    }

    fn limits(&self) -> ConnLimits {
        CONN_LIMITS
    }
}

/// Answers which addresses callers should use.
#[derive(Clone, Debug)]
pub struct AddressHandler<D> {
    pub dialect: D,
    pub board: Arc<Blackboard>,
    pub admission: Admission,
}

impl<D: Dialect> AddressHandler<D> {
    fn addresses(&self, zone: &str) -> (Vec<SocketAddr>, Duration) {
        let settings = self.board.settings.gateway.as_ref();
        let ttl_max = settings.map_or(ADDRESS_TTL_ALONE, GatewaySettings::address_ttl);
        let view = self.board.members_view();
        let homes = homes_of_zone(&view, zone, HomesPlan::of(&self.board));
        let ttl = if view.running_count() > 1 { ttl_max } else { ADDRESS_TTL_ALONE };
        let accepts_callers = self.admission.accepts_callers();
        let named =
            homes.iter().filter(|row| accepts_callers || row.incarnation != self.board.incarnation);
        (named.map(|row| row.caller_address).collect(), ttl.min(ttl_max))
    }
}

impl<D: Dialect> Handler for AddressHandler<D> {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let paths = self.dialect.instance_paths();
        if request.uri().path() != paths.addresses {
            return respond(StatusCode::NOT_FOUND, Vec::new());
        }
        let pairs = request.uri().query().unwrap_or("").split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        let zone =
            pairs.find(|(name, _)| *name == paths.zone_query_param).map_or("", |(_, zone)| zone);
        let (addresses, ttl) = self.addresses(zone);
        if addresses.is_empty() {
            return respond(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
        }
        let mut response = respond(StatusCode::OK, self.dialect.encode_addresses(&addresses, ttl));
        let json = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert(http::header::CONTENT_TYPE, json);
        response
    }

    fn limits(&self) -> ConnLimits {
        CONN_LIMITS
    }
}
