//! Loads settings from a file.

use std::path::Path;

use super::Settings;
use super::check_settings;
use crate::errors::Code;
use crate::errors::CodedError;

/// The default settings with comments, printed by `--print-defaults`.
pub const DEFAULTS: &str = include_str!("defaults.json5");

/// Reads and validates the settings file at `path`.
///
/// # Errors
/// One entry for each fault, with file, line and field.
pub fn load_settings(path: &Path) -> Result<Settings, Vec<CodedError>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|err| vec![CodedError::new(Code::SettingsUnreadable, format!("{name}: {err}"))])?;
    parse_settings(&name, &text)
}

/// Parses and validates settings; `name` is the file name in errors.
///
/// # Errors
/// One entry for each fault, with file, line and field.
pub fn parse_settings(name: &str, text: &str) -> Result<Settings, Vec<CodedError>> {
    let settings: Settings = json5::from_str(text).map_err(|err| vec![syntax(name, &err)])?;
    let faults = check_settings(&settings);
    if faults.is_empty() {
        return Ok(settings);
    }
    let coded = faults.into_iter().map(|fault| {
        let line = line_of(text, fault.field);
        let detail = format!("{name}:{line}: {}: {}", fault.field, fault.allowed);
        CodedError::new(Code::SettingsValue, detail)
    });
    Err(coded.collect())
}

fn syntax(name: &str, err: &json5::Error) -> CodedError {
    let line = err.position().map_or(1, |position| position.line + 1);
    CodedError::new(Code::SettingsSyntax, format!("{name}:{line}: {err}"))
}

/// Finds the line of a field by its dotted path: each part is searched below the line of the part
/// before it.
fn line_of(text: &str, field: &str) -> usize {
    let mut found = 0;
    for part in field.split('.') {
        let is_key = |line: &&str| {
            let start = line.trim_start().trim_start_matches(['{', '"', '\'']).trim_start();
            start.strip_prefix(part).is_some_and(|rest| {
                rest.trim_start_matches(['"', '\'']).trim_start().starts_with(':')
            })
        };
        let below = text.lines().skip(found).position(|line| is_key(&line));
        found += below.unwrap_or(0);
    }
    found + 1
}
