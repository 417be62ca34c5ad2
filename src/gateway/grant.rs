//! A slot that a request was given.

use std::sync::Arc;

use super::Dispatcher;
use super::server::Server;
use crate::balance::Ask;
use crate::balance::Choice;
use crate::balance::SendEnd;
use crate::model::LoadReport;

/// A server that is expected to take longer by this part of the usual time than when it was chosen
/// is chosen anew.
const SLOWED_SHARE: f64 = 0.7;

/// A slot of a backend server, given back when it is dropped.
#[derive(Debug)]
pub struct Grant {
    pub server: Arc<Server>,
    /// What was believed of the server when it was chosen.
    pub choice: Choice,
    pub(super) ticket: u64,
    pub(super) ask: Ask,
    pub(super) end: SendEnd,
    pub(super) dispatcher: Dispatcher,
}

impl Grant {
    /// Takes note of how the send ended; dropped without, it counts as cancelled.
    pub fn end(mut self, end: SendEnd) {
        self.end = end;
    }

    /// Whether the server looks much slower than when it was chosen.
    #[must_use]
    pub fn slowed(&self) -> bool {
        let usual_ms = self.dispatcher.usual_ms(&self.server.row.service, &self.ask);
        let now_ms = self.dispatcher.expected_ms(&self.server, &self.ask);
        now_ms > self.choice.expected_ms + SLOWED_SHARE * usual_ms
    }

    /// Whether the server has more requests, this one included, than it is given at a time: others
    /// sent some that nobody told of.
    #[must_use]
    pub fn crowded(&self) -> bool {
        self.dispatcher.crowded(&self.server)
    }

    /// Takes in a load report that came with the answer.
    pub fn report(&self, load: LoadReport) {
        self.dispatcher.report(&self.server, load);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let dispatcher = self.dispatcher.clone();
        dispatcher.finish(&self.server, self.ticket, &self.ask, self.end);
    }
}
