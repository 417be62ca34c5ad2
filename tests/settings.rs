//! Settings: the defaults are valid, faults name file, line, field and the allowed values, and the
//! documented result codes match the code.

use sorrelwick::conf::DEFAULTS;
use sorrelwick::conf::Settings;
use sorrelwick::conf::parse_settings;
use sorrelwick::errors::Code;
use sorrelwick::errors::TABLE;

#[test]
fn printed_defaults_equal_the_built_in_defaults() {
    let printed = parse_settings("defaults", DEFAULTS).expect("the printed defaults are valid");
    let minimal = r#"{ instance: { name: "a1", zone: "burnaby" } }"#;
    let implied: Settings =
        parse_settings("least", minimal).expect("the minimal settings are valid");
    assert_eq!(printed, implied);
}

#[test]
fn each_fault_names_file_line_field_and_allowed_values() {
    let text = "{\n  instance: { name: \"a\", zone: \"z\" },\n  // a comment\n  peers: {\n    \
                seeds: [\"127.0.0.1:9\"],\n    ping_interval_ms: 1,\n  },\n  \"log\": { level: \"loud\" },\n}";
    let faults = parse_settings("f.json", text).expect_err("three faults");
    let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(texts.len(), 4, "{texts:?}");
    assert!(
        texts[0].starts_with("1003 SettingsValue: f.json:4: peers.secret: at least 16"),
        "{texts:?}"
    );
    assert!(texts[1].contains("f.json:6: peers.ping_interval_ms: 1 is not within 10"), "{texts:?}");
    assert!(texts[3].contains("f.json:8: log.level: one of off, error"), "{texts:?}");
}

#[test]
fn unknown_fields_and_syntax_errors_name_their_line() {
    let unknown =
        "{\n  instance: { name: \"a\", zone: \"z\" },\n  listen: {\n    callers: 1,\n  },\n}";
    let faults = parse_settings("f", unknown).expect_err("an unknown field");
    assert_eq!(faults[0].code, Code::SettingsSyntax);
    assert!(
        faults[0].detail.contains("f:4:") && faults[0].detail.contains("callers"),
        "{faults:?}"
    );
    let broken = parse_settings("f", "{\n  instance: {{\n}").expect_err("broken");
    assert!(broken[0].detail.starts_with("f:2:"), "{broken:?}");
}

/// docs/CODES.md has exactly one row per code, with its number, meaning and remedy.
#[test]
fn the_documented_result_codes_match_the_code() {
    let docs = include_str!("../docs/CODES.md");
    let rows: Vec<&str> =
        docs.lines().filter(|line| line.starts_with("| ") && line.contains(" | `")).collect();
    let expected: Vec<String> = TABLE
        .iter()
        .map(|(code, meaning, remedy)| {
            format!("| {} | `{}` | {meaning} | {remedy} |", code.number(), code.name())
        })
        .collect();
    assert_eq!(rows, expected);
}
