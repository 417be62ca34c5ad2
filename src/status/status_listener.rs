//! The listener for health, readiness and metrics.

use std::sync::Arc;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use tokio::net::TcpListener;

use super::Metrics;
use crate::board::Blackboard;
use crate::board::Phase;
use crate::task::TaskGuard;

/// The status listener; dropping it closes the listener.
#[derive(Debug)]
pub struct StatusListener {
    _task: TaskGuard,
}

/// Responds with 200 as long as the process runs.
struct HealthHandler;

/// Responds with 200 while the instance accepts new callers.
struct ReadyHandler(Arc<Blackboard>);

/// Responds with the metrics.
struct MetricsHandler(Metrics);

#[salvo::async_trait]
impl Handler for HealthHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render("ok\n");
    }
}

#[salvo::async_trait]
impl Handler for ReadyHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        if self.0.phase() == Phase::Running {
            res.render("ready\n");
        } else {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            res.render("leaving\n");
        }
    }
}

#[salvo::async_trait]
impl Handler for MetricsHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render(self.0.encode());
    }
}

impl StatusListener {
    /// Serves `/health`, `/ready` and `/metrics`.
    #[must_use]
    pub fn spawn(listener: TcpListener, board: Arc<Blackboard>) -> Self {
        let metrics = Metrics::register(&board);
        let router = Router::new()
            .push(Router::with_path("health").get(HealthHandler))
            .push(Router::with_path("ready").get(ReadyHandler(board)))
            .push(Router::with_path("metrics").get(MetricsHandler(metrics)));
        let task = TaskGuard::spawn(async move {
            let Ok(acceptor) = TcpAcceptor::try_from(listener) else {
                return;
            };
            Server::new(acceptor).serve(router).await;
        });
        Self { _task: task }
    }
}
