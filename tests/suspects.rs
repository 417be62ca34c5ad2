//! The rule by which requests are quarantined, merging of its records between instances, and its
//! limits.

use std::time::Duration;

use sorrelwick::quarantine::Crash;
use sorrelwick::quarantine::Denial;
use sorrelwick::quarantine::FingerprintScope;
use sorrelwick::quarantine::Fingerprints;
use sorrelwick::quarantine::Quarantine;
use sorrelwick::quarantine::SendPolicy;
use sorrelwick::quarantine::SuspectRecord;
use sorrelwick::quarantine::SuspectRequest;

const MINUTE_US: u64 = 60_000_000;
/// Maximum number of records that an instance keeps.
const RECORDS_MAX: usize = 128;

fn new_suspect(scope: FingerprintScope) -> SuspectRequest {
    SuspectRequest::new(scope, 0)
}

fn fingerprints(caller: u8, target: &str) -> Fingerprints {
    let caller = std::net::Ipv4Addr::new(10, 0, 0, caller);
    Fingerprints::of(caller.into(), "shop.example", "GET", target, b"")
}

fn record_of(suspect: &SuspectRequest, now_us: u64) -> SuspectRecord {
    suspect.record(fingerprints(1, "/look/a").in_scope(FingerprintScope::Exact), now_us)
}

/// Records the crash of a send that knew of crashes up to `known_level`, while other requests get
/// responses.
fn crash(
    suspect: &mut SuspectRequest,
    server: u32,
    variant: u32,
    known_level: u16,
    now_us: u64,
) -> bool {
    suspect.record_crash(Crash { level: known_level + 1, server, variant }, true, now_us)
}

fn is_blocked(suspect: &SuspectRequest, now_us: u64) -> bool {
    matches!(suspect.send_policy(now_us), SendPolicy::Blocked { .. })
}

#[test]
fn three_crashes_over_two_levels_quarantine_and_simultaneous_ones_do_not() {
    let mut simultaneous = new_suspect(FingerprintScope::Exact);
    for server in 0..40 {
        assert!(!crash(&mut simultaneous, server, 0, 0, 0));
    }
    assert!(crash(&mut simultaneous, 41, 0, 1, 0), "a crash after another send");

    let mut consecutive = new_suspect(FingerprintScope::Exact);
    assert!(!crash(&mut consecutive, 1, 0, 0, 0));
    assert!(!crash(&mut consecutive, 2, 0, 1, 0));
    assert!(crash(&mut consecutive, 3, 0, 2, 0));
    assert!(is_blocked(&consecutive, 0));
}

#[test]
fn response_clears_only_crashes_known_when_it_was_sent() {
    let mut cleared = new_suspect(FingerprintScope::Exact);
    crash(&mut cleared, 1, 0, 0, 0);
    crash(&mut cleared, 2, 0, 1, 0);
    assert!(cleared.record_response(2, 0));
    assert_eq!(cleared.send_policy(0), SendPolicy::Unrestricted);
    assert!(!crash(&mut cleared, 3, 0, 2, 0), "the response cleared two of the three crashes");

    let mut late = new_suspect(FingerprintScope::Exact);
    crash(&mut late, 1, 0, 0, 0);
    crash(&mut late, 2, 0, 1, 0);
    assert!(!late.record_response(0, 0), "it was sent before the first crash and clears none");
    assert!(crash(&mut late, 3, 0, 2, 0));
    assert!(!late.record_response(2, 0), "it was sent before the quarantine");
    assert!(is_blocked(&late, 0));
}

#[test]
fn wide_fingerprint_needs_two_variants() {
    let mut one_caller = new_suspect(FingerprintScope::Content);
    for level in 0..20 {
        assert!(!crash(&mut one_caller, u32::from(level), 7, level, 0));
        assert_eq!(
            one_caller.send_policy(0),
            SendPolicy::Unrestricted,
            "other callers are not affected"
        );
    }
    assert!(crash(&mut one_caller, 21, 8, 0, 0), "a crash for another caller");
}

#[test]
fn quarantine_ends_with_one_probe_and_repeats_last_longer() {
    let mut suspect = new_suspect(FingerprintScope::Exact);
    for level in 0..3 {
        crash(&mut suspect, u32::from(level), 0, level, 0);
    }
    assert!(is_blocked(&suspect, 10 * MINUTE_US - 1));
    let block_end_us = 10 * MINUTE_US;
    assert_eq!(
        suspect.send_policy(block_end_us),
        SendPolicy::OneAtATime,
        "a single copy is sent after the block time"
    );
    let level = suspect.level();
    assert!(crash(&mut suspect, 9, 0, level, block_end_us), "one crash renews the quarantine");
    assert!(is_blocked(&suspect, block_end_us + 60 * MINUTE_US - 1));
    let second_block_end_us = block_end_us + 60 * MINUTE_US;
    assert!(
        suspect.record_response(suspect.level(), second_block_end_us),
        "a response ends the quarantine"
    );
    assert_eq!(suspect.send_policy(second_block_end_us), SendPolicy::Unrestricted);
}

/// Guards against quarantining a frequent request during an outage in which all requests of a
/// service crash servers. It must be sent again as soon as any other request gets a response.
#[test]
fn request_is_paused_and_not_quarantined_during_an_outage() {
    let mut paused = new_suspect(FingerprintScope::Exact);
    let mut now_us = 0;
    for level in 0..3 {
        assert!(!paused.record_crash(
            Crash { level: level + 1, server: 1, variant: 0 },
            false,
            now_us
        ));
    }
    let mut longest = Duration::ZERO;
    for _ in 0..10 {
        let SendPolicy::Blocked { remaining } = paused.send_policy(now_us) else {
            panic!("the request is not paused");
        };
        assert!(remaining >= longest, "pauses must not get shorter");
        longest = remaining;
        now_us += u64::try_from(remaining.as_micros()).expect("minutes");
        assert_eq!(
            paused.send_policy(now_us),
            SendPolicy::OneAtATime,
            "a single copy is sent after the pause"
        );
        let crash = Crash { level: paused.level() + 1, server: 1, variant: 0 };
        assert!(!paused.record_crash(crash, false, now_us));
    }
    assert!(longest <= Duration::from_mins(10));
    paused.end_pause();
    assert_eq!(paused.send_policy(now_us), SendPolicy::OneAtATime);
    let crash = Crash { level: paused.level() + 1, server: 1, variant: 0 };
    assert!(paused.record_crash(crash, true, now_us), "only this request crashes servers now");
}

/// A request that is paused because servers crashed under its copies in one outage.
fn paused_by_outage(now_us: u64) -> SuspectRequest {
    let mut paused = new_suspect(FingerprintScope::Exact);
    for (server, level) in [(1, 1), (2, 1), (3, 2), (4, 2), (5, 2)] {
        let crash = Crash { level, server, variant: 0 };
        assert!(!paused.record_crash(crash, false, now_us));
    }
    paused
}

/// Guards against a page that is refused for half a minute after a power loss: each copy that was
/// under way when the pause began made it three times as long.
#[test]
fn crashes_of_one_outage_do_not_prolong_the_pause() {
    let now_us = MINUTE_US;
    let SendPolicy::Blocked { remaining } = paused_by_outage(now_us).send_policy(now_us) else {
        panic!("the request is not paused");
    };
    assert_eq!(remaining, Duration::from_secs(4));
}

/// Guards against a page that one instance refuses while another one serves it: the response
/// cleared the page of the crashes there, and the first instance learned that but kept its pause.
#[test]
fn response_at_another_instance_ends_the_pause() {
    let now_us = MINUTE_US;
    let mut paused = paused_by_outage(now_us);
    let mut serving = paused.clone();
    assert!(serving.record_response(serving.level(), now_us));
    let _ = paused.merge(&record_of(&serving, now_us), false, now_us);
    assert_eq!(paused.send_policy(now_us), SendPolicy::Unrestricted);
}

#[test]
fn expired_record_is_not_merged() {
    let now_us = sorrelwick::clock::now_us();
    let mut old = SuspectRequest::new(FingerprintScope::Exact, now_us);
    crash(&mut old, 1, 0, 0, now_us);
    let quarantine = Quarantine::default();
    let expired = old.record(
        fingerprints(1, "/look/a").in_scope(FingerprintScope::Exact),
        now_us + 11 * MINUTE_US,
    );
    quarantine.merge(&[expired]);
    assert!(quarantine.records().is_empty());
    assert_eq!(quarantine.digest(), 0);
}

/// Guards against instances that disagree after updates that arrive late, twice or in any order,
/// and that do not block a request after learning that another instance has quarantined it.
#[test]
fn merging_converges_in_any_order() {
    arbtest::arbtest(|u| {
        let scope = FingerprintScope::ALL[u.choose_index(3)?];
        let mut instances = vec![SuspectRequest::new(scope, 0), SuspectRequest::new(scope, 0)];
        instances.push(SuspectRequest::new(scope, 0));
        let mut records: Vec<SuspectRecord> = Vec::new();
        for _ in 0..u.int_in_range(1..=24)? {
            let at = u.choose_index(instances.len())?;
            match u.int_in_range(0..=5)? {
                0..=2 => {
                    let level = u.int_in_range(0..=instances[at].level())?;
                    let (server, variant) = (u.int_in_range(0..=9)?, u.int_in_range(0..=2)?);
                    let crash = Crash { level: level + 1, server, variant };
                    instances[at].record_crash(crash, u.arbitrary()?, 0);
                }
                3 => {
                    let level = u.int_in_range(0..=instances[at].level())?;
                    instances[at].record_response(level, 0);
                }
                _ => {
                    if let Some(record) = records.get(u.choose_index(records.len().max(1))?) {
                        instances[at].merge(record, u.arbitrary()?, 0);
                    }
                }
            }
            records.push(record_of(&instances[at], 0));
        }
        // All instances exchange all records, in different orders, until nothing changes.
        for _ in 0..4 {
            let mut all: Vec<SuspectRecord> =
                instances.iter().map(|own| record_of(own, 0)).collect();
            let rotation = u.choose_index(all.len())?;
            all.rotate_left(rotation);
            for own in &mut instances {
                for record in &all {
                    own.merge(record, false, 0);
                }
            }
        }
        let final_records: Vec<SuspectRecord> =
            instances.iter().map(|own| record_of(own, 0)).collect();
        assert_eq!(final_records[0], final_records[1]);
        assert_eq!(final_records[1], final_records[2]);
        let quarantined =
            records.iter().any(|record| record.quarantine_count > record.release_count);
        let released = final_records[0].release_count > 0;
        assert!(!quarantined || released || is_blocked(&instances[0], 0), "{records:?}");
        Ok(())
    })
    .budget(Duration::from_secs(3));
}

/// Guards against an unbounded table, and against losing a quarantine, when an availability zone
/// loses power while thousands of requests run there.
#[test]
fn power_loss_keeps_the_table_bounded_and_quarantines_in_place() {
    let quarantine = Quarantine::default();
    let (crashing, harmless) =
        (fingerprints(1, "/look/crashing"), fingerprints(1, "/look/harmless"));
    for server in 0..3 {
        quarantine.admit(&crashing, "parts").expect("not quarantined yet").record_crash(server);
        std::thread::sleep(Duration::from_millis(1));
        quarantine.admit(&harmless, "parts").expect("never quarantined").record_response();
    }
    assert!(matches!(quarantine.denial(&crashing), Some(Denial::Quarantined { .. })));
    let trials: Vec<_> = (0..4_000)
        .map(|number| {
            quarantine
                .admit(&fingerprints(2, &format!("/look/{number}")), "parts")
                .expect("unknown")
        })
        .collect();
    for (server, trial) in (100..).zip(&trials) {
        trial.record_crash(server);
    }
    assert!(quarantine.records().len() <= RECORDS_MAX);
    assert!(matches!(quarantine.denial(&crashing), Some(Denial::Quarantined { .. })));
    for number in 0..4_000 {
        assert_eq!(quarantine.denial(&fingerprints(2, &format!("/look/{number}"))), None);
    }
}

/// Guards against a page that is refused for ten minutes after a second power loss of all servers:
/// responses between both outages were taken for a sign that other requests are served during it.
#[test]
fn responses_before_an_outage_do_not_quarantine_what_ran_in_it() {
    let quarantine = Quarantine::default();
    let (page, other) = (fingerprints(1, "/look/page"), fingerprints(1, "/look/other"));
    let admit = |fingerprints| quarantine.admit(fingerprints, "parts").expect("not quarantined");
    for outage in 0..3 {
        let copies: Vec<_> = (0..4).map(|_| admit(&page)).collect();
        copies.iter().zip(0..).for_each(|(copy, server)| copy.record_crash(10 * outage + server));
        drop(copies);
        let repeat = admit(&page);
        repeat.record_crash(10 * outage + 9);
        drop(repeat);
        let Some(Denial::Quarantined { remaining }) = quarantine.denial(&page) else {
            panic!("outage {outage}: the page is not paused");
        };
        assert!(remaining <= Duration::from_secs(4), "outage {outage}: refused for {remaining:?}");
        // The servers are back.
        std::thread::sleep(Duration::from_millis(1));
        admit(&other).record_response();
        admit(&page).record_response();
        std::thread::sleep(Duration::from_millis(1));
        admit(&other).record_response();
    }
}

/// Guards against several copies of a suspect request in flight at one instance at the same time.
#[test]
fn suspect_request_is_sent_one_at_a_time() {
    let quarantine = Quarantine::default();
    let suspect = fingerprints(1, "/look/suspect");
    let copies: Vec<_> =
        (0..2).map(|_| quarantine.admit(&suspect, "parts").expect("unknown")).collect();
    copies.iter().zip(0..).for_each(|(copy, server)| copy.record_crash(server));
    drop(copies);
    let first = quarantine.admit(&suspect, "parts").expect("one copy may be sent");
    assert_eq!(quarantine.admit(&suspect, "parts").err(), Some(Denial::AlreadyInFlight));
    drop(first);
    let second = quarantine.admit(&suspect, "parts").expect("the first send has ended");
    second.record_crash(9);
    assert!(matches!(quarantine.denial(&suspect), Some(Denial::Quarantined { .. })));
}

#[test]
fn fingerprints_differ_only_within_their_scope() {
    let same = |a: &Fingerprints, b: &Fingerprints, scope| a.in_scope(scope) == b.in_scope(scope);
    let first = fingerprints(1, "/look/a?n=1");
    for (other, exact, caller, content) in [
        (fingerprints(1, "/look/a?n=1"), true, true, true),
        (fingerprints(1, "/look/a?n=2"), false, true, true),
        (fingerprints(2, "/look/a?n=1"), false, false, true),
        (fingerprints(1, "/look/b?n=1"), false, false, false),
    ] {
        assert_eq!(same(&first, &other, FingerprintScope::Exact), exact);
        assert_eq!(same(&first, &other, FingerprintScope::Caller), caller);
        assert_eq!(same(&first, &other, FingerprintScope::Content), content);
    }
    let address = std::net::Ipv4Addr::LOCALHOST.into();
    let of = |method: &str, body: &[u8]| Fingerprints::of(address, "h", method, "/a", body);
    for (other, what) in [(of("POST", b"2"), "body"), (of("PUT", b"1"), "method")] {
        assert!(!same(&of("POST", b"1"), &other, FingerprintScope::Content), "{what}");
    }
}
