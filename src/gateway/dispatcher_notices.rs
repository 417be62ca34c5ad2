//! Records what backend servers report about themselves in their responses.

use std::time::Duration;

use log::info;
use log::warn;

use super::dispatcher::Dispatcher;
use super::server::Server;
use super::server_notice::ServerNotice;
use crate::balance::TrackedServer;
use crate::clock::now_us;
use crate::errors::Code;
use crate::limit::RateLimit;
use crate::model::ReportSource;
use crate::model::ServerState;

impl Dispatcher {
    /// Records what a server reported about itself.
    pub fn record_notice(&self, server: &Server, source: ReportSource, notice: ServerNotice) {
        let mut state = self.state.lock();
        let Some(tracked) = state.tracked_server(server) else {
            return;
        };
        if let Some(load) = notice.load {
            tracked.record_load(load, now_us());
        }
        match notice.rate_limit {
            Ok(limit) => record_rate_limit(tracked, source, limit),
            Err(_) => record_invalid_rate_limit(tracked, source),
        }
        match notice.retry_after {
            Ok(Some(duration)) => record_cooldown(tracked, source, duration),
            Ok(None) => {}
            Err(_) => warn_invalid_retry_after(tracked, source),
        }
        if notice.draining {
            record_draining(tracked, source);
            state.starts.mark_draining(&server.row);
        }
    }

    /// Whether a server has asked this instance to send it nothing for some time.
    #[must_use]
    pub fn in_cooldown(&self, server: &Server) -> bool {
        let mut state = self.state.lock();
        state
            .tracked_server(server)
            .is_some_and(|tracked| tracked.start_limits.in_cooldown(now_us()))
    }
}

fn record_rate_limit(tracked: &mut TrackedServer, source: ReportSource, limit: Option<RateLimit>) {
    let before = tracked.start_limits.rate_limit.current();
    if !tracked.start_limits.rate_limit.record(source, limit, now_us()) {
        return;
    }
    info!(
        event = "server-rate-limit", server = &*tracked.row.id, service = &*tracked.row.service,
        limit_per_s = limit.map(RateLimit::per_s), before_per_s = before.map(RateLimit::per_s),
        heard = source.name(), running = tracked.own_in_flight();
        ""
    );
}

fn record_draining(tracked: &mut TrackedServer, source: ReportSource) {
    if !tracked.mark_draining() {
        return;
    }
    info!(
        event = "server-leaving", server = &*tracked.row.id, service = &*tracked.row.service,
        listed_as_draining = tracked.row.state == ServerState::Draining, heard = source.name(),
        running = tracked.own_in_flight();
        ""
    );
}

fn record_cooldown(tracked: &mut TrackedServer, source: ReportSource, duration: Duration) {
    tracked.start_limits.start_cooldown(duration, now_us());
    info!(
        event = "server-rests", server = &*tracked.row.id, service = &*tracked.row.service,
        rest_ms = duration.as_millis(), heard = source.name(), running = tracked.own_in_flight();
        "the server refused a request and asks for no further requests for a time"
    );
}

fn warn_invalid_retry_after(tracked: &TrackedServer, source: ReportSource) {
    warn!(
        event = "server-rest-unreadable", code = Code::ServerRestUnreadable.number(),
        server = &*tracked.row.id, service = &*tracked.row.service, heard = source.name();
        "{}", Code::ServerRestUnreadable
    );
}

/// Logs a rate limit that cannot be read. The server's previous limit remains in effect.
fn record_invalid_rate_limit(tracked: &mut TrackedServer, source: ReportSource) {
    if !tracked.start_limits.rate_limit.record_invalid() {
        return;
    }
    warn!(
        event = "server-rate-limit-unreadable", code = Code::ServerLimitUnreadable.number(),
        server = &*tracked.row.id, service = &*tracked.row.service, heard = source.name();
        "{}", Code::ServerLimitUnreadable
    );
}
