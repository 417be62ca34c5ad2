//! A slot granted to a request.

use std::sync::Arc;

use super::Dispatcher;
use super::server::Server;
use super::server_notice::ServerNotice;
use crate::balance::RequestSpec;
use crate::balance::SendOutcome;
use crate::balance::ServerChoice;
use crate::model::ReportSource;

/// A slot of a backend server, released on drop.
#[derive(Debug)]
pub struct Grant {
    pub server: Arc<Server>,
    /// The state of the server when it was chosen.
    pub choice: ServerChoice,
    pub(super) ticket: u64,
    pub(super) spec: RequestSpec,
    pub(super) outcome: SendOutcome,
    pub(super) dispatcher: Dispatcher,
}

impl Grant {
    /// Releases the slot with the result of the attempt. A grant dropped otherwise counts as
    /// cancelled.
    pub fn finish(mut self, outcome: SendOutcome) {
        self.outcome = outcome;
    }

    /// Whether the server is now much slower than when it was chosen, or has become full.
    #[must_use]
    pub fn server_is_worse(&self) -> bool {
        self.dispatcher.is_worse(&self.server, &self.spec, self.choice.expected_ms)
    }

    /// Records what the server reported about itself in its response.
    pub fn record_notice(&self, notice: ServerNotice) {
        self.dispatcher.record_notice(&self.server, ReportSource::Response, notice);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let dispatcher = self.dispatcher.clone();
        dispatcher.finish(&self.server, self.ticket, &self.spec, self.outcome);
    }
}
