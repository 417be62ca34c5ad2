//! Membership: discovery, suspicion, refutation and death of instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sorrelwick::board::Blackboard;
use sorrelwick::board::Counter;
use sorrelwick::decide::HomeCandidate;
use sorrelwick::decide::assign_keepers;
use sorrelwick::decide::select_homes;
use sorrelwick::member::MemberRow;
use sorrelwick::member::MemberState;
use sorrelwick::member::MemberTable;
use sorrelwick::member::handle_member_request;
use sorrelwick::member::sync_members;
use sorrelwick::peer::PeerClient;
use sorrelwick::peer::PeerError;
use sorrelwick::peer::PeerReply;
use sorrelwick::peer::PeerRequest;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::bed::wait_until;
use standins::routed::member_row;

mod common;

use common::property;

/// A member's row of this generation and state.
fn row(incarnation: u64, generation: u32, state: MemberState) -> MemberRow {
    MemberRow { generation, state, ..member_row(incarnation) }
}

/// Bits of a hybrid logical clock timestamp below its milliseconds.
const STAMP_COUNTER_BITS: u32 = 16;

/// The member events of an instance, each with its time in milliseconds.
fn member_changes(board: &Blackboard) -> Vec<String> {
    let events = board.events.after(0);
    let stamped = events.iter().map(|event| (event.stamp, event.kind.name_and_detail()));
    let members = stamped.filter(|(_, (name, _))| name.starts_with("member"));
    members.map(|(stamp, (_, text))| format!("{} {text}", stamp >> STAMP_COUNTER_BITS)).collect()
}

/// Guards against a merge that depends on the order or number of rows: tables that merged the same
/// rows must be equal.
#[test]
fn the_order_of_rows_does_not_matter() {
    const STATES: [MemberState; 4] =
        [MemberState::Alive, MemberState::Leaving, MemberState::Suspect, MemberState::Dead];
    property(300, |u| {
        let mut rows = Vec::new();
        for _ in 0..u.int_in_range(1..=30)? {
            let state = *u.choose(&STATES)?;
            rows.push(row(u.int_in_range(2..=4)?, u.int_in_range(0..=4)?, state));
        }
        let mut one = MemberTable::new(row(1, 0, MemberState::Alive), 0);
        let mut two = MemberTable::new(row(1, 0, MemberState::Alive), 0);
        for row in &rows {
            let _ = one.merge(row, 10);
        }
        for row in rows.iter().rev().chain(rows.iter()) {
            let _ = two.merge(row, 10);
        }
        assert_eq!(one.rows(10), two.rows(10));
        Ok(())
    });
}

/// Guards against an instance that stays dead for others after a pause longer than their timeout.
/// It must learn that it was declared dead, refute that and be alive again; otherwise its
/// idempotency keys would be refused for ever.
#[test]
fn a_member_declared_dead_refutes_and_is_alive_again() {
    let mut frozen = MemberTable::new(row(1, 0, MemberState::Alive), 0);
    let mut other = MemberTable::new(row(2, 0, MemberState::Alive), 0);
    assert!(other.merge(&frozen.own_row(1), 1));
    assert!(other.suspect(1, 2));
    assert_eq!(other.expire_suspects(100, 200).len(), 1);
    let row_of_frozen =
        |table: &MemberTable| table.rows(300).into_iter().find(|r| r.incarnation == 1);
    assert_eq!(row_of_frozen(&other).expect("known").state, MemberState::Dead);
    assert!(frozen.merge(&row_of_frozen(&other).expect("known"), 300));
    assert!(other.merge(&frozen.own_row(300), 300));
    assert_eq!(row_of_frozen(&other).expect("known").state, MemberState::Alive);
}

/// Guards against a live member that is declared dead by those who only heard that others suspect
/// it: the more judge by hearsay, the more likely one of them reads its refutation too late.
#[test]
fn a_suspect_that_others_reported_gets_more_time() {
    let mut table = MemberTable::new(row(1, 0, MemberState::Alive), 0);
    assert!(table.merge(&row(2, 0, MemberState::Suspect), 0));
    assert!(table.expire_suspects(100, 299).is_empty());
    assert_eq!(table.expire_suspects(100, 300).len(), 1, "those who reported it may have ended");

    let mut table = MemberTable::new(row(1, 0, MemberState::Alive), 0);
    assert!(table.merge(&row(2, 0, MemberState::Suspect), 0));
    assert!(table.suspect(2, 50), "this instance can't reach it either");
    assert!(!table.suspect(2, 60));
    table.extend_suspicion(10, 70);
    assert!(table.expire_suspects(100, 159).is_empty());
    assert_eq!(table.expire_suspects(100, 160).len(), 1);
    assert!(!table.has_suspects());
}

/// Guards against a leaving instance that stops answering and becomes a suspect, to which work is
/// sent.
#[test]
fn a_leaving_member_that_falls_silent_gets_no_work() {
    let mut table = MemberTable::new(row(1, 0, MemberState::Alive), 0);
    table.merge(&row(2, 1, MemberState::Leaving), 1);
    table.suspect(2, 2);
    let seen = table.rows(3).into_iter().find(|row| row.incarnation == 2).expect("known");
    assert!(!seen.state.accepts_work());
}

/// Homes and keepers: every server has one keeper, servers are spread evenly, and removing a member
/// that is not a home moves no home.
#[test]
fn homes_are_stable_and_every_server_has_one_keeper() {
    property(200, |u| {
        let members: usize = u.int_in_range(1..=20)?;
        let zones = ["a", "b", "c"];
        let mut all = Vec::new();
        for at in 0..members {
            let incarnation = (at as u64) << 32 | u64::from(u.arbitrary::<u32>()?);
            all.push(HomeCandidate { incarnation, zone: zones[at % 3] });
        }
        let slots = u.int_in_range(0..=200)?;
        let zone_slots = [("a", 40), ("b", slots)];
        let homes = select_homes("orders", &all, &zone_slots);
        assert!(homes.len() >= 2.min(members));
        let in_b = all.iter().filter(|one| one.zone == "b").count();
        let homes_in_b = homes.iter().filter(|&&at| all[at].zone == "b").count();
        assert!(homes_in_b >= in_b.min(slots.div_ceil(64).max(1) as usize));
        let chosen: Vec<HomeCandidate<'_>> = homes.iter().map(|&at| all[at]).collect();
        let servers: Vec<(String, &str)> =
            (0..30).map(|at| (format!("b{at}"), zones[at % 3])).collect();
        let named: Vec<(&str, &str)> =
            servers.iter().map(|(id, zone)| (id.as_str(), *zone)).collect();
        let keepers = assign_keepers(&named, &chosen);
        assert_eq!(keepers.len(), 30);
        for home in 0..chosen.len() {
            let kept = keepers.iter().filter(|keeper| **keeper == home).count();
            assert!(kept <= 30_usize.div_ceil(chosen.len()));
        }
        let removed = u.choose_index(members)?;
        let rest: Vec<HomeCandidate<'_>> =
            all.iter().enumerate().filter(|(at, _)| *at != removed).map(|(_, c)| *c).collect();
        if !homes.contains(&removed) {
            let after: Vec<u64> = select_homes("orders", &rest, &zone_slots)
                .iter()
                .map(|&at| rest[at].incarnation)
                .collect();
            let before: Vec<u64> = chosen.iter().map(|home| home.incarnation).collect();
            assert_eq!(before, after, "removing a member that is not a home moved a home");
        }
        Ok(())
    });
}

/// Calls the handler of another instance directly.
#[derive(Clone)]
struct DirectLink(Arc<Blackboard>);

impl PeerClient for DirectLink {
    async fn call(
        &self,
        _: SocketAddr,
        request: &PeerRequest,
        _: Duration,
    ) -> Result<PeerReply, PeerError> {
        let PeerRequest::Member(request) = request.clone() else {
            return Err(PeerError::NotSent);
        };
        Ok(handle_member_request(&self.0, request))
    }

    fn close_idle(&self) {}

    fn drop_link(&self, _: SocketAddr) {}
}

/// Guards against an instance that takes itself for caught up because a peer that started later
/// had nothing to tell it: it named other homes than the rest for a second and more.
#[tokio::test]
async fn a_peer_that_lacks_rows_does_not_count_as_agreeing() {
    let settings =
        sorrelwick::conf::parse_settings("d", sorrelwick::conf::DEFAULTS).expect("valid");
    let (own, late) = (Blackboard::new(settings.clone(), 1), Blackboard::new(settings, 2));
    for incarnation in 10..30 {
        own.members.lock().merge(&row(incarnation, 0, MemberState::Alive), 0);
    }
    let links = DirectLink(Arc::new(late));
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    assert_eq!(sync_members(&own, &links, peer).await, Some(21));
    assert_eq!(sync_members(&own, &links, peer).await, Some(0));
}

/// Guards against a published snapshot that lacks a member: an instance hears of several others at
/// once on several connections; of two tasks that publish at once, the one with the older rows
/// stored its snapshot last, and nothing corrected it until the next change.
#[test]
fn members_heard_of_at_once_are_all_published() {
    use sorrelwick::board::Blackboard;
    let settings =
        sorrelwick::conf::parse_settings("d", sorrelwick::conf::DEFAULTS).expect("valid");
    for _ in 0..300 {
        let board = Blackboard::new(settings.clone(), 1);
        std::thread::scope(|scope| {
            for incarnation in 2..=9 {
                let board = &board;
                scope.spawn(move || {
                    let changed =
                        board.members.lock().merge(&row(incarnation, 0, MemberState::Alive), 10);
                    assert!(changed);
                    board.publish_members();
                });
            }
        });
        assert_eq!(board.members_view().rows.len(), 9);
    }
}

/// Of 19 instances one is killed and two start. Guards against instances that miss this, or declare
/// a live instance dead on the way.
#[tokio::test(flavor = "multi_thread")]
async fn nineteen_instances_notice_who_dies_and_who_comes() {
    let mut bed =
        TestBed::start(TestBedPlan { instances: 19, backends: 1, ..TestBedPlan::default() }).await;
    bed.kill(7);
    bed.wait_until_joined().await;
    bed.add_daemon().await;
    bed.add_daemon().await;
    bed.wait_until_joined().await;
    let lost = |board: &Arc<Blackboard>| board.counters.get(Counter::MembersLost);
    for board in bed.boards().iter().filter(|board| lost(board) > 1) {
        // Print which members were declared dead, and their changes before and after.
        println!("{}: {:#?}", board.settings.instance.name, member_changes(board));
    }
    let lost: Vec<u64> = bed.boards().iter().map(lost).collect();
    assert!(lost.iter().all(|lost| *lost <= 1), "a live member was declared dead: {lost:?}");
}

/// Guards against two groups that stay separate after a partition: each knows only its own seeds
/// and the platform's list is empty, then both hear of one common instance.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_groups_merge() {
    let mut bed =
        TestBed::start(TestBedPlan { instances: 2, backends: 1, ..TestBedPlan::default() }).await;
    let first = bed.boards()[0].settings.listen.peer;
    bed.stop_platform();
    bed.state.set_list("sorrelwick", Vec::new());
    let third = bed.add_daemon_with(|settings| settings.platform = None).await;
    let alone = bed.daemon(third).board().settings.listen.peer;
    bed.add_daemon_with(|settings| {
        settings.platform = None;
        settings.peers.seeds = vec![first, alone];
    })
    .await;
    wait_until("all four know each other", async || {
        bed.boards().iter().all(|board| board.members_view().running_count() == 4)
    })
    .await;
}
