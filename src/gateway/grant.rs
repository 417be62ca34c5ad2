//! A slot that a request was given.

use std::sync::Arc;

use super::Dispatcher;
use super::server::Server;
use super::server_notice::ServerNotice;
use crate::balance::RequestSpec;
use crate::balance::SendOutcome;
use crate::balance::ServerChoice;
use crate::model::Heard;

/// A slot of a backend server, given back when it is dropped.
#[derive(Debug)]
pub struct Grant {
    pub server: Arc<Server>,
    /// What was believed of the server when it was chosen.
    pub choice: ServerChoice,
    pub(super) ticket: u64,
    pub(super) spec: RequestSpec,
    pub(super) end: SendOutcome,
    pub(super) dispatcher: Dispatcher,
}

impl Grant {
    /// Takes note of how the send ended; dropped without, it counts as cancelled.
    pub fn end(mut self, end: SendOutcome) {
        self.end = end;
    }

    /// Whether the server looks much slower than when it was chosen, or turned out full.
    #[must_use]
    pub fn server_is_worse(&self) -> bool {
        self.dispatcher.is_worse(&self.server, &self.spec, self.choice.expected_ms)
    }

    /// Takes in what the server said of itself in its answer.
    pub fn record_notice(&self, notice: ServerNotice) {
        self.dispatcher.record_notice(&self.server, Heard::Answer, notice);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let dispatcher = self.dispatcher.clone();
        dispatcher.finish(&self.server, self.ticket, &self.spec, self.end);
    }
}
