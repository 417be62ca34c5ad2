//! Probes the backend servers that this instance keeps, where the result can change a decision.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;

use super::Shard;
use super::TokenBuckets;
use super::token_buckets::tokens_of_shard;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::board::EventKind;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::peer::GrantRequest;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::reach::ReachEvidence;
use crate::route::BACKEND_STATE;
use crate::route::CloseReason;
use crate::route::DRAINING;
use crate::route::Freshness;
use crate::route::Router;
use crate::route::ServiceState;

/// Pause between two rounds over all services.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest body of a health answer.
const ANSWER_MAX_BYTES: usize = 64 << 10;
/// A server whose last report is not older than this needs no probe.
const FRESH_AGE_MAX_US: u64 = 1_000_000;

/// The server that most needs a probe: first one that announced that it is leaving and may be
/// back, then the one with the oldest report.
fn choose_server_to_probe(state: &ServiceState) -> Option<(String, Arc<crate::route::Upstream>)> {
    let servers = state.runtime.slot_queue.declared_servers();
    let kept_servers = servers.into_iter().filter(|server| server.is_keeper);
    let candidates = kept_servers
        .filter(|s| s.self_reported_leaving || (s.usable && s.report_age_us > FRESH_AGE_MAX_US));
    let best =
        candidates.max_by_key(|server| (server.self_reported_leaving, server.report_age_us))?;
    Some((best.upstream.id.clone(), best.upstream))
}

/// The answer to a probe.
struct HealthAnswer {
    status: StatusCode,
    /// Whether the server announced that it is leaving.
    leaving: bool,
    /// What it shows about the path to the server.
    evidence: ReachEvidence,
}

/// Sends a probe.
async fn call_health_path(
    path: &str,
    upstream: &Arc<crate::route::Upstream>,
) -> Option<HealthAnswer> {
    let mut conn = upstream.checkout(Freshness::Any).await.ok()?;
    let evidence = conn.response_evidence();
    let request = Request::get(path)
        .header("host", upstream.address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let response = conn.sender.send_request(request).await.ok()?;
    let state = response.headers().get(BACKEND_STATE).and_then(|value| value.to_str().ok());
    let leaving = state == Some(DRAINING);
    let status = response.status();
    Limited::new(response.into_body(), ANSWER_MAX_BYTES).collect().await.ok()?;
    conn.return_to_pool();
    Some(HealthAnswer { status, leaving, evidence })
}

/// Probes a server. Health answers are unreliable: one may close a server, but reopens it only if
/// it was closed by its own announcement.
async fn probe(
    router: &Router,
    state: &ServiceState,
    id: &str,
    upstream: &Arc<crate::route::Upstream>,
) {
    router.board.counters.add(Counter::Probes);
    let health_call = call_health_path(&state.spec.health_path, upstream);
    let answer = tokio::time::timeout(PROBE_TIMEOUT, health_call).await.ok().flatten();
    let Some(HealthAnswer { status, leaving, evidence }) = answer else {
        return router.record_reach(state, upstream, ReachEvidence::NoResponse);
    };
    router.record_reach(state, upstream, evidence);
    let slot_queue = &state.runtime.slot_queue;
    let closed = leaving || !status.is_success();
    if slot_queue.set_closed(id, CloseReason::SelfReported, closed) {
        router.board.record_event(EventKind::server_leaving_changed(&state.spec.name, id, closed));
        router.notify_co_homes(state, id, closed);
    }
}

/// Probes a server of the service if one needs it and a token is ready.
async fn probe_if_due(
    router: Router,
    state: Arc<ServiceState>,
    buckets: TokenBuckets,
    shard: Shard,
) {
    let service = &state.spec.name;
    let Some((id, upstream)) = choose_server_to_probe(&state) else {
        return;
    };
    // The tokens of this instance's shard end with its lease, those of others with their grants.
    if shard.current(now_ms()).is_none() {
        buckets.drop_own(service, router.board.incarnation);
    }
    let Some(token) = buckets.try_take(service, now_ms()) else {
        return;
    };
    probe(&router, &state, &id, &upstream).await;
    token.mark_sent(now_ms());
}

/// Adds the tokens of this instance's own shard, unless they are granted to another.
fn put_own_tokens(board: &Blackboard, state: &ServiceState, buckets: &TokenBuckets, shard: &Shard) {
    let now = now_ms();
    let service = &state.spec.name;
    if buckets.own_granted(service, now) {
        return;
    }
    if let Some(number) = shard.current(now) {
        let shards = board.settings.measuring.shards;
        let count = tokens_of_shard(state.spec.measuring_budget_per_s, number, shards);
        buckets.put_tokens(service, board.incarnation, count, shard.valid_until_ms(), now);
    }
}

/// Requests the tokens of another instance for the services that this one is a home of.
async fn request_grant(
    router: &Router,
    services: &[String],
    grantor: &MemberRow,
    buckets: &TokenBuckets,
) {
    let requested_ms = now_ms();
    let from = router.board.incarnation;
    let request = PeerRequest::Grant(GrantRequest { from, services: services.to_vec() });
    let reply = router.links.call(grantor.peer_address, &request, GRANT_TIMEOUT).await;
    let Ok(PeerReply::Granted(counts)) = reply else {
        return;
    };
    let until_ms = requested_ms + router.board.settings.measuring.grant_ms;
    for (service, count) in services.iter().zip(counts) {
        if count > 0 {
            buckets.put_tokens(service, grantor.incarnation, count, until_ms, now_ms());
        }
    }
}

/// Requests the tokens of all other instances, one after the other.
async fn request_grants(router: &Router, buckets: &TokenBuckets) {
    let board = &router.board;
    let services = board.services();
    let homed =
        services.values().filter(|state| state.is_home && state.spec.measuring_budget_per_s > 0);
    let names: Vec<String> = homed.map(|state| state.spec.name.clone()).collect();
    drop(services);
    if names.is_empty() {
        return;
    }
    let view = board.members_view();
    let others = view
        .rows
        .iter()
        .filter(|row| row.incarnation != board.incarnation && row.state.accepts_work());
    for grantor in others {
        request_grant(router, &names, grantor, buckets).await;
    }
}

/// Requests grants from all other instances, again after each grant period.
async fn run_grant_requests(router: Router, buckets: TokenBuckets) {
    let grant_ms = router.board.settings.measuring.grant_ms;
    loop {
        request_grants(&router, &buckets).await;
        tokio::time::sleep(Duration::from_millis(grant_ms)).await;
    }
}

/// Probes the servers that this instance keeps, as often as its tokens allow.
pub async fn run_prober(router: Router, buckets: TokenBuckets, shard: Shard) {
    tokio::spawn(run_grant_requests(router.clone(), buckets.clone()));
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let services = router.board.services().clone();
        for state in services.values() {
            if !state.is_home || state.spec.measuring_budget_per_s == 0 {
                continue;
            }
            put_own_tokens(&router.board, state, &buckets, &shard);
            let work =
                probe_if_due(router.clone(), Arc::clone(state), buckets.clone(), shard.clone());
            tokio::spawn(work);
        }
    }
}
