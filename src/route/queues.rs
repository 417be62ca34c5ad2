//! Word between the homes of a service about free slots, where it changes a decision.
//!
//! Homes say nothing while none of them has a queue. One that has asks the others; those tell of
//! free slots until it has none any more. All words of an instance share one allowance, which
//! keeps them within the control traffic that a node may send.

use std::time::Duration;

use super::Router;
use super::ServiceState;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::peer::LoadNote;
use crate::peer::PeerCalls;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

const TURN: Duration = Duration::from_millis(5);
const TELL_TIMEOUT: Duration = Duration::from_millis(200);
/// Words a second, over all services: at about 90 bytes each, 3.6 KB of the 5 KB a second.
const MESSAGES_PER_S: f64 = 40.0;
/// Words that an instance may have saved.
const MESSAGES_SAVED_MAX: f64 = 40.0;

/// Words left to this instance.
struct TokenBucket {
    left: f64,
    at_ms: u64,
}

impl TokenBucket {
    fn take(&mut self) -> bool {
        let now = now_ms();
        #[expect(clippy::cast_precision_loss, reason = "milliseconds since the last turn")]
        let earned = (now - self.at_ms) as f64 / 1000.0 * MESSAGES_PER_S;
        self.left = (self.left + earned).min(MESSAGES_SAVED_MAX);
        self.at_ms = now;
        let has = self.left >= 1.0;
        if has {
            self.left -= 1.0;
        }
        has
    }
}

async fn tell(router: Router, name: String, home: MemberRow, free: u32, waiting: u32) {
    let from = router.board.incarnation;
    let note = PeerRequest::Load(LoadNote { service: name.clone(), from, free, waiting });
    let told = router.links.call(home.peer, &note, TELL_TIMEOUT).await;
    if let Ok(PeerReply::Free(free)) = told
        && let Some(state) = router.board.services().get(&name)
    {
        state.core.note_free(home.incarnation, free);
        state.core.binder.offer_moves(free);
    }
}

fn tell_others(router: &Router, state: &ServiceState, allowance: &mut TokenBucket) {
    let (free, waiting) = state.core.binder.free_and_waiting();
    if free == 0 && waiting == 0 {
        return;
    }
    for home in &state.homes {
        if home.incarnation == router.board.incarnation
            || !state.core.should_tell(home.incarnation, waiting > 0)
            || !allowance.take()
        {
            continue;
        }
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let name = state.spec.name.clone();
        tokio::spawn(tell(router.clone(), name, MemberRow::clone(home), free, waiting));
    }
}

/// Takes another home's word in, and answers with the own free slots.
#[must_use]
pub fn hear(board: &Blackboard, state: &ServiceState, note: &LoadNote) -> u32 {
    let (free, waiting) = state.core.binder.free_and_waiting();
    if note.waiting > 0 {
        state.core.note_waiting(note.from);
        board.queue_formed.notify_one();
    }
    state.core.note_free(note.from, note.free);
    if waiting > 0 {
        state.core.binder.offer_moves(note.free);
    }
    free
}

/// One turn over all services; tells whether requests wait for any of them, here or elsewhere.
fn serve_queues(router: &Router, allowance: &mut TokenBucket) -> bool {
    let mut waiting = false;
    let services = router.board.services().clone();
    for state in services.values() {
        let queued_here = state.core.binder.tick();
        let co_home_waits = state.am_home && state.core.co_home_waits();
        if !queued_here && !co_home_waits {
            continue;
        }
        waiting = true;
        if state.am_home && state.homes.len() > 1 {
            tell_others(router, state, allowance);
        }
    }
    waiting
}

/// Serves the queues of this instance while there are any: slots that came free by time alone are
/// offered, and the other homes are told what would help. Without queues it sleeps.
pub async fn run_queues(router: Router) {
    let mut allowance = TokenBucket { left: MESSAGES_SAVED_MAX, at_ms: now_ms() };
    loop {
        router.board.queue_formed.notified().await;
        while serve_queues(&router, &mut allowance) {
            tokio::time::sleep(TURN).await;
        }
    }
}
