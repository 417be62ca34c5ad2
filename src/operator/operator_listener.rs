//! The gRPC listener for operators.

use tokio::net::TcpListener;
use tonic::Request;
use tonic::Status;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use super::convert::status_from_error;
use super::operator_service::OperatorService;
use crate::board::Counter;
use crate::errors::Code;
use crate::errors::CodedError;
use crate::r#gen::operator_server::OperatorServer;
use crate::route::Router;
use crate::task::TaskGuard;

/// Metadata key with the operator's token.
pub const TOKEN_METADATA_KEY: &str = "authorization";
/// Concurrent HTTP/2 streams, and so calls, per connection.
const STREAMS_PER_CONNECTION_MAX: u32 = 64;

/// The operators' listener; dropping it closes the listener.
#[derive(Debug)]
pub struct OperatorListener {
    _task: TaskGuard,
}

/// Compares in a time that does not depend on where the texts differ, against timing attacks.
fn equal_in_constant_time(expected: &str, given: &str) -> bool {
    use subtle::ConstantTimeEq;
    expected.as_bytes().ct_eq(given.as_bytes()).into()
}

/// Rejects a request without the operator's token, if one is set.
fn check_token(router: &Router, request: Request<()>) -> Result<Request<()>, Status> {
    let token = &router.board.settings.operators.token;
    if token.is_empty() {
        return Ok(request);
    }
    let given = request.metadata().get(TOKEN_METADATA_KEY).and_then(|value| value.to_str().ok());
    if given.is_some_and(|given| equal_in_constant_time(&format!("Bearer {token}"), given)) {
        return Ok(request);
    }
    router.board.counters.add(Counter::OperatorsRefused);
    Err(status_from_error(&CodedError::new(
        Code::Unauthenticated,
        "the operator's token is missing or wrong",
    )))
}

impl OperatorListener {
    /// Serves operators on `listener`.
    #[must_use]
    pub fn spawn(listener: TcpListener, router: Router) -> Self {
        let token_router = router.clone();
        let service =
            OperatorServer::with_interceptor(OperatorService::new(router), move |request| {
                check_token(&token_router, request)
            });
        // Without `TCP_NODELAY` each response waits about 40 ms for a delayed acknowledgement.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let serving = Server::builder()
            .max_concurrent_streams(STREAMS_PER_CONNECTION_MAX)
            .add_service(service)
            .serve_with_incoming(incoming);
        let task = TaskGuard::spawn(async move {
            // This ends only if the listener fails; the daemon continues to serve callers.
            if let Err(err) = serving.await {
                log::error!("operators' listener failed: {err}");
            }
        });
        Self { _task: task }
    }
}
