//! The status listener.

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

/// The status listener, open until it is dropped.
#[derive(Debug)]
pub struct StatusPage {
    _task: TaskGuard,
}

/// Answers 200 while the process runs at all.
struct Health;

/// Answers 200 while new callers should come here.
struct Readiness(Arc<Blackboard>);

struct MetricsText(Metrics);

#[salvo::async_trait]
impl Handler for Health {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render("ok\n");
    }
}

#[salvo::async_trait]
impl Handler for Readiness {
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
impl Handler for MetricsText {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render(self.0.text());
    }
}

impl StatusPage {
    /// Serves `/health`, `/ready` and `/metrics`.
    #[must_use]
    pub fn spawn(listener: TcpListener, board: Arc<Blackboard>) -> Self {
        let metrics = Metrics::open(&board);
        let router = Router::new()
            .push(Router::with_path("health").get(Health))
            .push(Router::with_path("ready").get(Readiness(board)))
            .push(Router::with_path("metrics").get(MetricsText(metrics)));
        let task = TaskGuard::spawn(async move {
            let Ok(acceptor) = TcpAcceptor::try_from(listener) else {
                return;
            };
            Server::new(acceptor).serve(router).await;
        });
        Self { _task: task }
    }
}
