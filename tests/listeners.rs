//! All listeners: invalid input gets a result code, and unauthenticated peers get no response.

use std::net::SocketAddr;
use std::time::Duration;

use sorrelwick::command::ToolClient;
use sorrelwick::errors::Code;
use sorrelwick::peer::Links;
use sorrelwick::peer::PeerClient;
use sorrelwick::peer::PeerError;
use sorrelwick::peer::PeerRequest;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn send_raw(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut seen = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut seen)).await;
    String::from_utf8_lossy(&seen).into_owned()
}

fn get_request(fields: &str) -> String {
    format!("GET /x HTTP/1.1\r\nhost: orders\r\nconnection: close\r\n{fields}\r\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_of_callers_get_result_codes() {
    let mut plan = TestBedPlan { instances: 1, ..TestBedPlan::default() };
    plan.requests.body_limit_bytes = 1_000;
    let bed = TestBed::start(plan).await;
    let mut service = bed.service("orders");
    service.kinds[1].key_required = true;
    let revision = bed.put_service(0, &service, 0).await.expect("accepted");
    bed.wait_until_applied("orders", revision).await;
    let address = bed.caller_addresses()[0];
    let long = "k".repeat(201);
    let post = |fields: &str| get_request(fields).replacen("GET", "POST", 1);
    let cases = [
        (get_request("sorrelwick-timeout-ms: soon\r\n"), "2001"),
        (get_request("sorrelwick-service: nothing-here\r\n"), "2002"),
        (post(&format!("idempotency-key: {long}\r\ncontent-length: 0\r\n")), "2004"),
        (post("content-length: 0\r\n"), "2005"),
        (post(&format!("content-length: 2000\r\n\r\n{}", "b".repeat(2_000))), "2003"),
    ];
    for (request, code) in cases {
        let answer = send_raw(address, &request).await;
        assert!(answer.contains(&format!("sorrelwick-code: {code}")), "{code}: {answer}");
        assert!(answer.contains("sorrelwick-outcome: not-run"), "{answer}");
    }
    let garbage = send_raw(address, "\x16\x03\x01 this is no HTTP\r\n\r\n").await;
    assert!(garbage.is_empty() || garbage.starts_with("HTTP/1.1 400"), "{garbage}");
    assert_eq!(bed.run_counts().len(), 0);
    let good = send_raw(address, &get_request("x-request-id: good\r\n")).await;
    assert!(good.contains("sorrelwick-outcome: ran"), "{good}");
}

/// `sorrelwick-` headers of backend servers and callers are dropped, so that neither can forge one,
/// and hop-by-hop headers are not forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn forged_and_hop_by_hop_headers_are_not_forwarded() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let backend = listener.local_addr().expect("an address");
    let seen = std::sync::Arc::new(tokio::sync::Mutex::new(String::new()));
    let written = std::sync::Arc::clone(&seen);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 4096];
            let len = stream.read(&mut bytes).await.unwrap_or(0);
            *written.lock().await = String::from_utf8_lossy(&bytes[..len]).to_lowercase();
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nsorrelwick-outcome: not-run\r\n\
                          sorrelwick-retry-after-ms: 9\r\nx-own: 1\r\nx-hop: 1\r\n\
                          connection: x-hop\r\n\r\nok";
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    let bed = TestBed::start(TestBedPlan { instances: 1, ..TestBedPlan::default() }).await;
    let mut service = bed.service("orders");
    service.backend_servers.truncate(1);
    service.backend_servers[0].address = backend;
    let revision = bed.put_service(0, &service, 0).await.expect("accepted");
    bed.wait_until_applied("orders", revision).await;
    let request = get_request("sorrelwick-outcome: not-run\r\nte: trailers\r\nx-caller: 1\r\n");
    let answer = send_raw(bed.caller_addresses()[0], &request).await;
    assert!(
        answer.contains("sorrelwick-outcome: ran\r\n") && answer.contains("x-own: 1"),
        "{answer}"
    );
    assert!(!answer.contains("retry-after") && !answer.contains("x-hop"), "{answer}");
    let seen = seen.lock().await;
    assert!(seen.contains("x-caller: 1") && seen.contains("sorrelwick-timeout-ms:"), "{seen}");
    assert!(!seen.contains("sorrelwick-outcome") && !seen.contains("trailers"), "{seen}");
}

/// A client without the shared secret sends peer requests or garbage to the peer port. It must get
/// no response, and each attempt must be counted.
#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_peers_get_no_response() {
    let bed = TestBed::start(TestBedPlan { instances: 2, ..TestBedPlan::default() }).await;
    let board = &bed.boards()[0];
    let address = board.settings.listen.peer;
    let unauthenticated = Links::new("another secret of enough characters");
    let fetch = PeerRequest::Fetch(vec!["orders".into()]);
    let result = unauthenticated.call(address, &fetch, Duration::from_secs(3)).await;
    assert_eq!(result, Err(PeerError::NotSent));
    let seen = send_raw(
        address,
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nand much more that is no proof at all, and then some",
    )
    .await;
    assert!(seen.chars().count() <= 32, "a nonce at most: {seen:?}");
    let refused = sorrelwick::board::Counter::PeersRefused;
    standins::bed::wait_until("both are counted", async || board.counters.get(refused) >= 2).await;
    let peer = Links::new(&board.settings.peers.secret);
    assert!(peer.call(address, &fetch, Duration::from_secs(3)).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_need_the_token_and_valid_declarations() {
    let mut bed = TestBed::start(TestBedPlan { instances: 0, ..TestBedPlan::default() }).await;
    let at = bed.add_daemon_with(|s| s.operators.token = "a token of sixteen or more".into()).await;
    let address = bed.daemon(at).board().settings.listen.operator.to_string();
    for token in ["", "a wrong token of some length"] {
        let mut unauthenticated = ToolClient::open(&address, token).expect("an address");
        assert_eq!(unauthenticated.list().await.expect_err("refused").code, Code::Unauthenticated);
    }
    let mut operator =
        ToolClient::open(&address, "a token of sixteen or more").expect("an address");
    assert!(operator.list().await.is_ok());
    let wire = |change: &dyn Fn(&mut sorrelwick::model::Service)| {
        let mut service = bed.service("orders");
        change(&mut service);
        sorrelwick::operator::service_to_wire(&service)
    };
    let bad = [
        wire(&|s| s.name = "no spaces here".into()),
        wire(&|s| s.backend_servers[0].slots = 0),
        wire(&|s| s.backend_servers[1].id = "b0".into()),
        wire(&|s| s.kinds[0].path_prefix = "no-slash".into()),
        wire(&|s| s.timeout_ms = 0),
        wire(&|s| s.refusal_statuses = vec![200]),
    ];
    for service in bad {
        let result = operator.put(&service, 0).await.expect_err("refused");
        assert_eq!(result.code, Code::ServiceInvalid, "{result}");
    }
    let result = operator.set_drain("orders", "b0", true).await.expect_err("refused");
    assert_eq!(result.code, Code::NotFound);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_status_listener_serves_health_readiness_and_metrics() {
    let mut bed = TestBed::start(TestBedPlan { instances: 1, ..TestBedPlan::default() }).await;
    bed.create_service("orders").await;
    let board = std::sync::Arc::clone(&bed.boards()[0]);
    send_raw(bed.caller_addresses()[0], &get_request("x-request-id: m\r\n")).await;
    let page = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n");
    let status = board.settings.listen.status;
    assert!(send_raw(status, &page("/health")).await.contains("200 OK"));
    assert!(send_raw(status, &page("/ready")).await.contains("200 OK"));
    let metrics = send_raw(status, &page("/metrics")).await;
    assert!(
        metrics.contains("sorrelwick_outcome_ran_total") && metrics.contains(" 1\n"),
        "{metrics}"
    );
    let stopping = tokio::spawn(bed.daemons[0].take().expect("runs").stop());
    standins::bed::wait_until("the instance reports not ready", async || {
        send_raw(status, &page("/ready")).await.contains("503")
    })
    .await;
    assert!(send_raw(status, &page("/health")).await.contains("200 OK"));
    stopping.await.expect("stopped");
}
