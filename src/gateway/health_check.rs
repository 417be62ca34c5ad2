//! A health check over a connection to a backend server.

use super::Dialect;
use super::dispatcher::Dispatcher;
use super::server::Server;
use super::server_conn::ExchangeError;
use super::server_conn::ResponseMatcher;
use super::server_conn::ServerConn;
use super::server_notice::ServerNotice;
use super::server_notice::header_text;
use crate::model::ReportSource;

/// Maximum size of the body of a response to a health check, whose content is not used.
const HEALTH_BODY_MAX_BYTES: u64 = 64 << 10;

/// Sends a health check and records the load and slowdown that the server reports. Returns whether
/// the connection can be used for the next request.
///
/// # Errors
/// If there is no response, or if another server responds that now has the address.
pub async fn check_health<D: Dialect>(
    dialect: &D,
    dispatcher: &Dispatcher,
    server: &Server,
    conn: &mut ServerConn,
    path: &str,
) -> Result<bool, ExchangeError> {
    let names = dialect.header_names();
    let head = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", server.conns.address());
    let matcher =
        ResponseMatcher { id_header: &names.request_id, id: None, not_run_header: &names.not_run };
    let response = conn.exchange(head.as_bytes(), &[], matcher).await?;
    dispatcher.record_reach(server, conn.response_evidence());
    let mut decoder = response.decoder(HEALTH_BODY_MAX_BYTES);
    while conn.read_body(&mut decoder).await?.is_some() {}
    let header = |name| header_text(&response.headers, name);
    if header(&names.server_id).is_some_and(|id| *id != *server.row.id) {
        dispatcher.unlist_displaced(server);
        return Err(ExchangeError::Garbled);
    }
    dispatcher.record_notice(
        server,
        ReportSource::HealthCheck,
        ServerNotice::read(dialect, response.status, &response.headers),
    );
    let warmup_left_ms = header(&names.warmup_left_ms).and_then(|text| text.trim().parse().ok());
    dispatcher.record_health_check(server, response.status.is_success(), warmup_left_ms);
    Ok(conn.finish(&response))
}
