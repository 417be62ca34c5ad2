//! Parsing of the operators' configuration: an invalid part affects only itself.

use std::sync::Arc;

use arbtest::arbitrary::Arbitrary;
use sorrelwick::errors::Code;
use sorrelwick::gateway::ConfigFault;
use sorrelwick::gateway::ParsedConfig;
use sorrelwick::gateway::RouteKind;
use sorrelwick::gateway::RouteTable;
use standins::routed::two_routes;

mod common;

const HOST: &str = "shop.example";

/// A document with two routes and one change to it.
fn changed(version: u64, change: impl FnOnce(&mut serde_json::Value)) -> Vec<u8> {
    let mut document = serde_json::from_str(&two_routes(version)).expect("JSON");
    change(&mut document);
    document.to_string().into_bytes()
}

fn read(text: &[u8], before: Option<&RouteTable>) -> ParsedConfig {
    RouteTable::parse(text, before).expect("the document is valid")
}

fn codes(faults: &[ConfigFault]) -> Vec<(Code, bool)> {
    faults.iter().map(|fault| (fault.code, fault.kept)).collect()
}

/// Guards against rejecting the whole configuration because of one route of an unknown kind: all
/// callers of a deployment were refused.
#[test]
fn unknown_route_kind_keeps_route_without_repeats() {
    let text = changed(1, |document| document["routes"][0]["kind"] = "streamed".into());
    let ParsedConfig { table, faults } = read(&text, None);
    let look = table.find_route(HOST, "/look/a").expect("the route exists");
    assert_eq!((look.kind, look.idempotent()), (RouteKind::Unknown, false));
    assert!(look.has_target());
    assert!(
        table.find_route(HOST, "/order/a").expect("the other route is unaffected").has_target()
    );
    assert_eq!(codes(&faults), [(Code::RouteKindUnknown, false)]);
}

#[test]
fn download_kind_is_repeatable() {
    let text = changed(1, |document| document["routes"][0]["kind"] = "download".into());
    let ParsedConfig { table, faults } = read(&text, None);
    let look = table.find_route(HOST, "/look/a").expect("the route exists");
    assert_eq!((look.kind, look.idempotent()), (RouteKind::Download, true));
    assert!(faults.is_empty(), "{faults:?}");
}

/// A tool writes a timeout as a string: that route keeps its previous version, all others get the
/// new one.
#[test]
fn unreadable_route_keeps_previous_version() {
    let before = read(two_routes(1).as_bytes(), None).table;
    let text = changed(2, |document| {
        document["routes"][0]["timeout_ms"] = "soon".into();
        document["routes"][1]["aim_ms"] = 333.into();
    });
    let ParsedConfig { table, faults } = read(&text, Some(&before));
    assert_eq!(table.version, 2);
    assert_eq!(table.find_route(HOST, "/look/a"), before.find_route(HOST, "/look/a"));
    assert_eq!(table.find_route(HOST, "/order/a").map(|route| route.aim_ms), Some(333));
    assert_eq!(codes(&faults), [(Code::RouteUnreadable, true)]);
    assert!(faults[0].why.contains("timeout_ms") || faults[0].why.contains("soon"), "{faults:?}");
}

/// Guards against a final "no such route" answer for a new route that cannot be parsed: the next
/// version may serve it.
#[test]
fn unreadable_new_route_refuses_requests() {
    let text = changed(1, |document| document["routes"][0]["timeout_ms"] = "soon".into());
    let ParsedConfig { table, faults } = read(&text, None);
    let look =
        table.find_route(HOST, "/look/a").expect("the route is known although it is unreadable");
    assert!(!look.has_target() && !look.idempotent());
    assert!(
        table.find_route(HOST, "/order/a").expect("the other route is unaffected").has_target()
    );
    assert_eq!(codes(&faults), [(Code::RouteUnreadable, false)]);
}

#[test]
fn unreadable_services_and_limits_keep_previous_version() {
    let first = changed(1, |document| document["limits"]["body_bytes_max"] = 77.into());
    let before = read(&first, None).table;
    let text = changed(2, |document| {
        document["services"][0]["health_path"] = 7.into();
        document["limits"]["body_bytes_max"] = "many".into();
    });
    let ParsedConfig { table, faults } = read(&text, Some(&before));
    assert_eq!(table.services.get("parts"), before.services.get("parts"));
    assert_eq!(table.limits.body_bytes_max, 77);
    assert_eq!(codes(&faults), [(Code::ServiceUnreadable, true), (Code::LimitsUnreadable, true)]);
}

/// One part is replaced by an arbitrary value: the document is parsed, and the other route is
/// unchanged.
#[test]
fn unreadable_part_does_not_affect_others() {
    let whole = read(two_routes(1).as_bytes(), None).table;
    common::property(2_000, |u| {
        let at = usize::from(bool::arbitrary(u)?);
        let field = *u.choose(&["name", "host", "prefix", "kind", "timeout_ms", "service", ""])?;
        let values = [
            serde_json::Value::Null,
            serde_json::json!(u64::arbitrary(u)?),
            serde_json::json!(String::arbitrary(u)?),
            serde_json::json!([u8::arbitrary(u)?]),
            serde_json::json!({ "a": bool::arbitrary(u)? }),
        ];
        let value = u.choose(&values)?.clone();
        let text = changed(2, |document| {
            let route = &mut document["routes"][at];
            if field.is_empty() { *route = value } else { route[field] = value }
        });
        let table = read(&text, Some(&whole)).table;
        let (path, other) = if at == 0 { ("/order/a", "order") } else { ("/look/a", "look") };
        let found = table.find_route(HOST, path).map(Arc::as_ref);
        assert_eq!(found, whole.route_named(other).map(Arc::as_ref));
        Ok(())
    });
}

#[test]
fn malformed_document_is_rejected() {
    for text in ["", "[]", "{}", r#"{"version":"7"}"#, r#"{"version":7,"routes":{}}"#] {
        assert!(RouteTable::parse(text.as_bytes(), None).is_err(), "{text}");
    }
}

/// Guards against requests whose head is extended by the path of a health check, which is written into
/// it as it is.
#[test]
fn health_path_that_no_request_carries_is_unreadable() {
    for unfit in ["", "health", "/he alth", "/health HTTP/1.1\r\nx: y", "/a\0", "/\u{e9}"] {
        let text = changed(1, |document| document["services"][0]["health_path"] = unfit.into());
        let ParsedConfig { table, faults } = read(&text, None);
        assert_eq!(codes(&faults), [(Code::ServiceUnreadable, false)], "{unfit:?}");
        assert!(!table.services.contains_key("parts"), "{unfit:?}");
    }
    let text = changed(1, |document| document["services"][0]["health_path"] = "/a%20b?c=d".into());
    assert!(read(&text, None).faults.is_empty());
}
