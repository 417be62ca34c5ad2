//! Decides where a request runs and whether its idempotency key must be checked first.

use std::sync::Arc;

use super::Answer;
use super::ProxyRequest;
use super::ServiceState;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::errors::Code;
use crate::peer::ForwardStage;
use crate::peer::Links;
use crate::store::AnyStore;

/// The request path of one instance. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Router {
    pub board: Arc<Blackboard>,
    pub links: Links,
    pub store: AnyStore,
}

impl Router {
    /// Handles a request and returns its final answer.
    pub async fn handle(&self, mut proxy_request: ProxyRequest) -> Answer {
        let Some(state) = self.board.services().get(&proxy_request.service).cloned() else {
            return Answer::rejected(Code::UnknownService, proxy_request.key.is_some());
        };
        let kind = state.spec.find_kind(&proxy_request.method, proxy_request.path());
        // Instances may briefly have different revisions in force: a request is retried only if
        // every instance that handles it considers it idempotent.
        let forwarded_as_idempotent = proxy_request.idempotent;
        proxy_request.idempotent &= kind.is_some_and(|kind| kind.idempotent);
        if !proxy_request.idempotent
            && proxy_request.key.is_none()
            && kind.is_some_and(|kind| kind.key_required)
        {
            return Answer::not_run(Code::KeyRequired, 0);
        }
        let answer = self.dispatch(&state, proxy_request, forwarded_as_idempotent).await;
        self.board.counters.add(Counter::of_outcome(answer.outcome));
        answer
    }

    /// Runs an idempotent request at once, and any other by way of its key, if it has one.
    async fn dispatch(
        &self,
        state: &Arc<ServiceState>,
        proxy_request: ProxyRequest,
        forwarded_as_idempotent: bool,
    ) -> Answer {
        if proxy_request.idempotent {
            return self.run(state, &proxy_request).await;
        }
        // At a home, the owner of the key has already decided on it, unless the sender, on an older
        // revision, considered the request idempotent and bypassed the owner: if it ran here then,
        // it could run a second time at the owner.
        let key_resolved = proxy_request.stage >= ForwardStage::Home && !forwarded_as_idempotent;
        match proxy_request.key.clone() {
            Some(key) if !key_resolved => self.run_keyed(state, proxy_request, key).await,
            _ => self.run_detached(state, proxy_request).await,
        }
    }

    /// Runs to completion even if the caller disconnects: a request that is not idempotent must
    /// not be cut short.
    async fn run_detached(&self, state: &Arc<ServiceState>, proxy_request: ProxyRequest) -> Answer {
        let router = self.clone();
        let state = Arc::clone(state);
        // Counted separately, so that a planned stop waits for it even if its caller has left.
        let in_flight = self.board.start_request();
        let work = tokio::spawn(async move {
            let answer = router.run(&state, &proxy_request).await;
            drop(in_flight);
            answer
        });
        work.await.unwrap_or_else(|_| Answer::unknown(Code::AnswerLost))
    }
}
