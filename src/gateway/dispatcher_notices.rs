//! What backend servers say of themselves, taken in.

use std::time::Duration;

use log::info;
use log::warn;

use super::dispatcher::Dispatcher;
use super::server::Server;
use super::server_notice::ServerNotice;
use crate::balance::ServerTrack;
use crate::clock::now_us;
use crate::errors::Code;
use crate::limit::RateLimit;
use crate::model::Heard;
use crate::model::ServerState;

impl Dispatcher {
    /// Takes in what a server said of itself.
    pub fn hear(&self, server: &Server, heard: Heard, notice: ServerNotice) {
        let mut state = self.state.lock();
        let Some(track) = state.track(server) else {
            return;
        };
        if let Some(load) = notice.load {
            track.report(load, now_us());
        }
        match notice.limit {
            Ok(limit) => hear_limit(track, heard, limit),
            Err(_) => limit_unreadable(track, heard),
        }
        match notice.rest {
            Ok(Some(rest)) => hear_rest(track, heard, rest),
            Ok(None) => {}
            Err(_) => rest_unreadable(track, heard),
        }
        if notice.leaving {
            hear_leaving(track, heard);
            state.starts.said_to_leave(&server.row);
        }
    }

    /// Whether a server asked this instance for rest.
    #[must_use]
    pub fn rests(&self, server: &Server) -> bool {
        let mut state = self.state.lock();
        state.track(server).is_some_and(|track| track.bounds.rests(now_us()))
    }
}

fn hear_limit(track: &mut ServerTrack, heard: Heard, limit: Option<RateLimit>) {
    let before = track.bounds.limit.limit();
    if !track.bounds.limit.hear(heard, limit, now_us()) {
        return;
    }
    info!(
        event = "server-rate-limit", server = &*track.row.id, service = &*track.row.service,
        limit_per_s = limit.map(RateLimit::per_s), before_per_s = before.map(RateLimit::per_s),
        heard = heard.name(), running = track.own_requests();
        ""
    );
}

fn hear_leaving(track: &mut ServerTrack, heard: Heard) {
    if !track.hear_leaving() {
        return;
    }
    info!(
        event = "server-leaving", server = &*track.row.id, service = &*track.row.service,
        listed_as_draining = track.row.state == ServerState::Draining, heard = heard.name(),
        running = track.own_requests();
        ""
    );
}

fn hear_rest(track: &mut ServerTrack, heard: Heard, rest: Duration) {
    track.bounds.rest(rest, now_us());
    info!(
        event = "server-rests", server = &*track.row.id, service = &*track.row.service,
        rest_ms = rest.as_millis(), heard = heard.name(), running = track.own_requests();
        "it turned a request away and asks for rest"
    );
}

fn rest_unreadable(track: &ServerTrack, heard: Heard) {
    warn!(
        event = "server-rest-unreadable", code = Code::ServerRestUnreadable.number(),
        server = &*track.row.id, service = &*track.row.service, heard = heard.name();
        "{}", Code::ServerRestUnreadable
    );
}

/// What the server said before stays in force.
fn limit_unreadable(track: &mut ServerTrack, heard: Heard) {
    if !track.bounds.limit.hear_unreadable() {
        return;
    }
    warn!(
        event = "server-rate-limit-unreadable", code = Code::ServerLimitUnreadable.number(),
        server = &*track.row.id, service = &*track.row.service, heard = heard.name();
        "{}", Code::ServerLimitUnreadable
    );
}
