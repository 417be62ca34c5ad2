//! Load messages between the homes of a service, sent only where they change a decision.
//!
//! Homes send none while none of them has a queue. A home with a queue asks its co-homes, which
//! report their free slots until its queue is empty. All load messages of an instance share one
//! rate limit, which keeps them within the control traffic that a node may send.

use std::time::Duration;

use super::Router;
use super::ServiceState;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::peer::LoadNote;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Pause between two rounds over the queues of all services, while any request waits.
const QUEUE_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of a load message.
const SEND_TIMEOUT: Duration = Duration::from_millis(200);
/// Load messages per second, over all services: at about 90 bytes each they take 3.6 KB of the
/// 5 KB of control traffic that a node may send per second.
const MESSAGES_PER_S: f64 = 40.0;
/// Largest burst of load messages after a quiet time.
const MESSAGES_BURST_MAX: f64 = 40.0;

/// Rate limit for the load messages of this instance.
struct TokenBucket {
    /// Messages that may be sent at once.
    tokens: f64,
    /// When the tokens were last refilled.
    refilled_ms: u64,
}

impl TokenBucket {
    fn try_take(&mut self) -> bool {
        let now = now_ms();
        #[expect(clippy::cast_precision_loss, reason = "milliseconds since the last refill")]
        let refill = (now - self.refilled_ms) as f64 / 1000.0 * MESSAGES_PER_S;
        self.tokens = (self.tokens + refill).min(MESSAGES_BURST_MAX);
        self.refilled_ms = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Sends the load of this instance to a co-home and records the free slots in its reply.
async fn send_load(router: Router, name: String, home: MemberRow, free: u32, waiting: u32) {
    let from = router.board.incarnation;
    let note = PeerRequest::Load(LoadNote {
        service: name.clone(),
        from,
        free_slots: free,
        queued: waiting,
    });
    let reply = router.links.call(home.peer_address, &note, SEND_TIMEOUT).await;
    if let Ok(PeerReply::FreeSlots(free)) = reply
        && let Some(state) = router.board.services().get(&name)
    {
        state.runtime.record_free_slots(home.incarnation, free);
        state.runtime.slot_queue.redirect_waiters(free);
    }
}

/// Sends the load of this instance to the co-homes to which it is due.
fn send_load_to_co_homes(router: &Router, state: &ServiceState, rate_limit: &mut TokenBucket) {
    let (free, waiting) = state.runtime.slot_queue.free_slots_and_waiting();
    if free == 0 && waiting == 0 {
        return;
    }
    for home in &state.homes {
        if home.incarnation == router.board.incarnation
            || !state.runtime.should_send_load(home.incarnation, waiting > 0)
            || !rate_limit.try_take()
        {
            continue;
        }
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let name = state.spec.name.clone();
        tokio::spawn(send_load(router.clone(), name, MemberRow::clone(home), free, waiting));
    }
}

/// Processes a load message of a co-home and returns the number of slots free here.
#[must_use]
pub fn handle_load_note(board: &Blackboard, state: &ServiceState, note: &LoadNote) -> u32 {
    let (free, waiting) = state.runtime.slot_queue.free_slots_and_waiting();
    if note.queued > 0 {
        state.runtime.record_queue(note.from);
        board.queue_formed.notify_one();
    }
    state.runtime.record_free_slots(note.from, note.free_slots);
    if waiting > 0 {
        state.runtime.slot_queue.redirect_waiters(note.free_slots);
    }
    free
}

/// Serves the queues of all services once; returns whether requests wait here or at a co-home.
fn serve_queues(router: &Router, rate_limit: &mut TokenBucket) -> bool {
    let mut waiting = false;
    let services = router.board.services().clone();
    for state in services.values() {
        let queued_here = state.runtime.slot_queue.dispatch_waiting();
        let co_home_queued = state.is_home && state.runtime.co_home_has_queue();
        if !queued_here && !co_home_queued {
            continue;
        }
        waiting = true;
        if state.is_home && state.homes.len() > 1 {
            send_load_to_co_homes(router, state, rate_limit);
        }
    }
    waiting
}

/// Serves the queues of this instance while there are any: hands out slots that became free by
/// time alone, and sends load messages to the co-homes. Sleeps while there are no queues.
pub async fn run_queues(router: Router) {
    let mut rate_limit = TokenBucket { tokens: MESSAGES_BURST_MAX, refilled_ms: now_ms() };
    loop {
        router.board.queue_formed.notified().await;
        while serve_queues(&router, &mut rate_limit) {
            tokio::time::sleep(QUEUE_INTERVAL).await;
        }
    }
}
