//! When a request is known to crash servers: the rule, its merging over instances, and its bounds.

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
/// Rows that an instance keeps at most.
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

/// A crash of a send that knew of crashes up to a level, while other requests are served.
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
    let mut one_moment = new_suspect(FingerprintScope::Exact);
    for server in 0..40 {
        assert!(!crash(&mut one_moment, server, 0, 0, 0));
    }
    assert!(crash(&mut one_moment, 41, 0, 1, 0), "a further try ended one more");

    let mut one_by_one = new_suspect(FingerprintScope::Exact);
    assert!(!crash(&mut one_by_one, 1, 0, 0, 0));
    assert!(!crash(&mut one_by_one, 2, 0, 1, 0));
    assert!(crash(&mut one_by_one, 3, 0, 2, 0));
    assert!(is_blocked(&one_by_one, 0));
}

#[test]
fn response_clears_only_crashes_known_when_it_was_sent() {
    let mut cleared = new_suspect(FingerprintScope::Exact);
    crash(&mut cleared, 1, 0, 0, 0);
    crash(&mut cleared, 2, 0, 1, 0);
    assert!(cleared.record_response(2, 0));
    assert_eq!(cleared.send_policy(0), SendPolicy::Unrestricted);
    assert!(!crash(&mut cleared, 3, 0, 2, 0), "two of the three were not its doing");

    let mut late = new_suspect(FingerprintScope::Exact);
    crash(&mut late, 1, 0, 0, 0);
    crash(&mut late, 2, 0, 1, 0);
    assert!(!late.record_response(0, 0), "sent before the first crash, it shows nothing of them");
    assert!(crash(&mut late, 3, 0, 2, 0));
    assert!(!late.record_response(2, 0), "a word from before the conviction");
    assert!(is_blocked(&late, 0));
}

#[test]
fn wide_fingerprint_needs_two_variants() {
    let mut one_caller = new_suspect(FingerprintScope::Content);
    for try_number in 0..20 {
        assert!(!crash(&mut one_caller, u32::from(try_number), 7, try_number, 0));
        assert_eq!(
            one_caller.send_policy(0),
            SendPolicy::Unrestricted,
            "other callers are not concerned"
        );
    }
    assert!(crash(&mut one_caller, 21, 8, 0, 0), "another caller's ended one too");
}

#[test]
fn quarantine_ends_with_one_probe_and_repeats_last_longer() {
    let mut suspect = new_suspect(FingerprintScope::Exact);
    for level in 0..3 {
        crash(&mut suspect, u32::from(level), 0, level, 0);
    }
    assert!(is_blocked(&suspect, 10 * MINUTE_US - 1));
    let trial_us = 10 * MINUTE_US;
    assert_eq!(suspect.send_policy(trial_us), SendPolicy::OneAtATime, "sent once at a time");
    let level = suspect.level();
    assert!(crash(&mut suspect, 9, 0, level, trial_us), "one crash is enough now");
    assert!(is_blocked(&suspect, trial_us + 60 * MINUTE_US - 1));
    let second_trial_us = trial_us + 60 * MINUTE_US;
    assert!(suspect.record_response(suspect.level(), second_trial_us), "it was mended");
    assert_eq!(suspect.send_policy(second_trial_us), SendPolicy::Unrestricted);
}

/// Story: everything crashes the servers of a service. A request that is asked for often must not be
/// convicted for it, and must be tried as soon as anything else is answered.
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
        let SendPolicy::Blocked { remaining: left } = paused.send_policy(now_us) else {
            panic!("it is not paused");
        };
        assert!(left >= longest, "pauses grow");
        longest = left;
        now_us += u64::try_from(left.as_micros()).expect("minutes");
        assert_eq!(paused.send_policy(now_us), SendPolicy::OneAtATime, "one trial");
        let crash = Crash { level: paused.level() + 1, server: 1, variant: 0 };
        assert!(!paused.record_crash(crash, false, now_us));
    }
    assert!(longest <= Duration::from_mins(10));
    paused.end_pause();
    assert_eq!(paused.send_policy(now_us), SendPolicy::OneAtATime);
    let crash = Crash { level: paused.level() + 1, server: 1, variant: 0 };
    assert!(paused.record_crash(crash, true, now_us), "now it alone crashes a server");
}

#[test]
fn expired_record_is_not_merged() {
    let now_us = sorrelwick::clock::now_us();
    let mut old = SuspectRequest::new(FingerprintScope::Exact, now_us);
    crash(&mut old, 1, 0, 0, now_us);
    let quarantine = Quarantine::default();
    let told = old.record(
        fingerprints(1, "/look/a").in_scope(FingerprintScope::Exact),
        now_us + 11 * MINUTE_US,
    );
    quarantine.merge(&[told]);
    assert!(quarantine.records().is_empty());
    assert_eq!(quarantine.digest(), 0);
}

/// Words between instances come late, twice and in any order; all instances must come to believe the
/// same, and none may let a request through that another one convicted, once it has heard of it.
#[test]
fn merging_converges_in_any_order() {
    arbtest::arbtest(|u| {
        let scope = FingerprintScope::ALL[u.choose_index(3)?];
        let mut instances = vec![SuspectRequest::new(scope, 0), SuspectRequest::new(scope, 0)];
        instances.push(SuspectRequest::new(scope, 0));
        let mut words: Vec<SuspectRecord> = Vec::new();
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
                    if let Some(word) = words.get(u.choose_index(words.len().max(1))?) {
                        instances[at].merge(word, u.arbitrary()?, 0);
                    }
                }
            }
            words.push(record_of(&instances[at], 0));
        }
        // Then all hear of all, in an order of their own, until nothing changes.
        for _ in 0..4 {
            let mut all: Vec<SuspectRecord> =
                instances.iter().map(|own| record_of(own, 0)).collect();
            let turned = u.choose_index(all.len())?;
            all.rotate_left(turned);
            for own in &mut instances {
                for word in &all {
                    own.merge(word, false, 0);
                }
            }
        }
        let rows: Vec<SuspectRecord> = instances.iter().map(|own| record_of(own, 0)).collect();
        assert_eq!(rows[0], rows[1]);
        assert_eq!(rows[1], rows[2]);
        let convicted = words.iter().any(|word| word.quarantine_count > word.release_count);
        let pardoned = rows[0].release_count > 0;
        assert!(!convicted || pardoned || is_blocked(&instances[0], 0), "{words:?}");
        Ok(())
    })
    .budget(Duration::from_secs(3));
}

/// An availability zone loses power while thousands of requests run there. What an instance keeps, and
/// tells others with each difference, stays bounded, and a conviction is not pushed out by it.
#[test]
fn power_loss_keeps_the_table_bounded_and_quarantines_in_place() {
    let quarantine = Quarantine::default();
    let (guilty, innocent) = (fingerprints(1, "/look/guilty"), fingerprints(1, "/look/innocent"));
    for server in 0..3 {
        quarantine.admit(&guilty, "parts").expect("not convicted yet").record_crash(server);
        std::thread::sleep(Duration::from_millis(1));
        quarantine.admit(&innocent, "parts").expect("innocent").record_response();
    }
    assert!(matches!(quarantine.denial(&guilty), Some(Denial::Quarantined { .. })));
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
    assert!(matches!(quarantine.denial(&guilty), Some(Denial::Quarantined { .. })));
    for number in 0..4_000 {
        assert_eq!(quarantine.denial(&fingerprints(2, &format!("/look/{number}"))), None);
    }
}

/// A suspect is sent once at a time at each instance, however many copies come at the same moment.
#[test]
fn suspect_request_is_sent_one_at_a_time() {
    let quarantine = Quarantine::default();
    let suspect = fingerprints(1, "/look/suspect");
    let copies: Vec<_> =
        (0..2).map(|_| quarantine.admit(&suspect, "parts").expect("unknown")).collect();
    copies.iter().zip(0..).for_each(|(copy, server)| copy.record_crash(server));
    drop(copies);
    let first = quarantine.admit(&suspect, "parts").expect("one may be sent");
    assert_eq!(quarantine.admit(&suspect, "parts").err(), Some(Denial::AlreadyInFlight));
    drop(first);
    let second = quarantine.admit(&suspect, "parts").expect("the first is over");
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
