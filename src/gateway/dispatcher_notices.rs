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
use crate::model::Heard;
use crate::model::ServerState;

impl Dispatcher {
    /// Records what a server reported about itself.
    pub fn record_notice(&self, server: &Server, heard: Heard, notice: ServerNotice) {
        let mut state = self.state.lock();
        let Some(track) = state.tracked_server(server) else {
            return;
        };
        if let Some(load) = notice.load {
            track.record_load(load, now_us());
        }
        match notice.rate_limit {
            Ok(limit) => record_rate_limit(track, heard, limit),
            Err(_) => record_invalid_rate_limit(track, heard),
        }
        match notice.retry_after {
            Ok(Some(rest)) => record_cooldown(track, heard, rest),
            Ok(None) => {}
            Err(_) => warn_invalid_retry_after(track, heard),
        }
        if notice.draining {
            record_draining(track, heard);
            state.starts.mark_draining(&server.row);
        }
    }

    /// Whether a server has asked this instance to send it nothing for some time.
    #[must_use]
    pub fn in_cooldown(&self, server: &Server) -> bool {
        let mut state = self.state.lock();
        state.tracked_server(server).is_some_and(|track| track.start_limits.in_cooldown(now_us()))
    }
}

fn record_rate_limit(track: &mut TrackedServer, heard: Heard, limit: Option<RateLimit>) {
    let before = track.start_limits.rate_limit.current();
    if !track.start_limits.rate_limit.record(heard, limit, now_us()) {
        return;
    }
    info!(
        event = "server-rate-limit", server = &*track.row.id, service = &*track.row.service,
        limit_per_s = limit.map(RateLimit::per_s), before_per_s = before.map(RateLimit::per_s),
        heard = heard.name(), running = track.own_in_flight();
        ""
    );
}

fn record_draining(track: &mut TrackedServer, heard: Heard) {
    if !track.mark_draining() {
        return;
    }
    info!(
        event = "server-leaving", server = &*track.row.id, service = &*track.row.service,
        listed_as_draining = track.row.state == ServerState::Draining, heard = heard.name(),
        running = track.own_in_flight();
        ""
    );
}

fn record_cooldown(track: &mut TrackedServer, heard: Heard, rest: Duration) {
    track.start_limits.start_cooldown(rest, now_us());
    info!(
        event = "server-rests", server = &*track.row.id, service = &*track.row.service,
        rest_ms = rest.as_millis(), heard = heard.name(), running = track.own_in_flight();
        "the server refused a request and asked for a pause"
    );
}

fn warn_invalid_retry_after(track: &TrackedServer, heard: Heard) {
    warn!(
        event = "server-rest-unreadable", code = Code::ServerRestUnreadable.number(),
        server = &*track.row.id, service = &*track.row.service, heard = heard.name();
        "{}", Code::ServerRestUnreadable
    );
}

/// Logs a rate limit that cannot be read. The server's previous limit remains in effect.
fn record_invalid_rate_limit(track: &mut TrackedServer, heard: Heard) {
    if !track.start_limits.rate_limit.record_unreadable() {
        return;
    }
    warn!(
        event = "server-rate-limit-unreadable", code = Code::ServerLimitUnreadable.number(),
        server = &*track.row.id, service = &*track.row.service, heard = heard.name();
        "{}", Code::ServerLimitUnreadable
    );
}
