//! Asks other instances whether they reach backend servers.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::task::JoinSet;

use crate::board::Blackboard;
use crate::member::MemberRow;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Instances that are asked in one round whether they reach the servers.
const ASKED_PER_ROUND: usize = 6;
/// The first of these, which have requests and so need no checks to answer.
const ASKED_FIRST: usize = 2;
/// Timeout of such a question. The other instance may have to check the servers first.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Instances to ask: first one of each zone that others are sent to, which knows without a check,
/// then any.
fn choose_asked(board: &Blackboard) -> Vec<Arc<MemberRow>> {
    let view = board.members_view();
    let may_help =
        |row: &&Arc<MemberRow>| row.incarnation != board.incarnation && row.reaches_servers;
    let first = view.zones().filter_map(|zone| view.ranked(zone).iter().find(may_help));
    let mut asked: Vec<Arc<MemberRow>> = first.cloned().collect();
    let mut rng = rand::rng();
    asked.shuffle(&mut rng);
    asked.truncate(ASKED_FIRST);
    let at = rand::RngExt::random(&mut rng);
    let others = view.ring_from(at).filter(may_help);
    for row in others.take(2 * ASKED_PER_ROUND) {
        if asked.len() < ASKED_PER_ROUND
            && !asked.iter().any(|other| other.incarnation == row.incarnation)
        {
            asked.push(Arc::clone(row));
        }
    }
    asked
}

/// Asks a few instances about these services; returns those whose servers any of them reaches.
///
/// If all services are `known` to be lost, the others are only asked if the first do not reach them.
pub(super) async fn ask<L: PeerClient>(
    board: &Blackboard,
    links: &L,
    services: &[Arc<str>],
    known: bool,
) -> Vec<Arc<str>> {
    if services.is_empty() {
        return Vec::new();
    }
    let asked = choose_asked(board);
    if !known {
        return ask_all(links, &asked, services).await;
    }
    let (first, others) = asked.split_at(ASKED_FIRST.min(asked.len()));
    let reached = ask_all(links, first, services).await;
    if reached.len() == services.len() {
        return reached;
    }
    ask_all(links, others, services).await
}

/// Asks all of these instances at the same time.
async fn ask_all<L: PeerClient>(
    links: &L,
    asked: &[Arc<MemberRow>],
    services: &[Arc<str>],
) -> Vec<Arc<str>> {
    let names: Vec<String> = services.iter().map(ToString::to_string).collect();
    let mut calls = JoinSet::new();
    for row in asked {
        let (links, services, address) = (links.clone(), names.clone(), row.peer_address);
        calls.spawn(async move {
            let request = PeerRequest::ReachesServers { services };
            links.call(address, &request, ASK_TIMEOUT).await
        });
    }
    let mut reached = vec![false; services.len()];
    while let Some(reply) = calls.join_next().await {
        if let Ok(Ok(PeerReply::ReachesServers(theirs))) = reply {
            for (reached, theirs) in reached.iter_mut().zip(theirs) {
                *reached |= theirs;
            }
        }
        if reached.iter().all(|reached| *reached) {
            break;
        }
    }
    let with_word = services.iter().zip(reached).filter(|(_, reached)| *reached);
    with_word.map(|(service, _)| Arc::clone(service)).collect()
}
