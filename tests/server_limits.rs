//! Backend servers in need: limits in requests a second that they name in their answers.

use sorrelwick::limit::Heard;
use sorrelwick::limit::LimitUnreadable;
use sorrelwick::limit::NamedLimit;
use sorrelwick::limit::RateLimit;

fn limit(text: &str) -> RateLimit {
    text.parse().expect("a limit")
}

/// A field that names no rate is taken for one.
#[test]
fn only_a_number_of_requests_a_second_is_a_limit() {
    for (text, per_s) in [("1.2", 1.2), (" 3 ", 3.0), ("0", 0.0)] {
        assert_eq!(text.parse().map(RateLimit::per_s), Ok(per_s), "{text}");
    }
    for text in ["", "-1", "NaN", "inf", "1/s", "1,2"] {
        assert_eq!(text.parse::<RateLimit>(), Err(LimitUnreadable), "{text}");
    }
}

/// Health answers that never name a limit end the one that answers to requests name.
#[test]
fn silence_ends_a_limit_only_where_it_was_named() {
    let mut named = NamedLimit::default();
    assert!(named.hear(Heard::Answer, Some(limit("1.2")), 1));
    assert!(!named.hear(Heard::Check, None, 2));
    assert_eq!(named.limit(), Some(limit("1.2")));
    assert!(named.hear(Heard::Answer, None, 3));
    assert_eq!(named.limit(), None);
    assert!(named.hear(Heard::Check, Some(limit("2")), 4));
    assert_eq!(named.age_us(7), Some(3));
    assert!(named.hear(Heard::Check, None, 8));
    assert_eq!((named.limit(), named.age_us(9)), (None, None));
}
