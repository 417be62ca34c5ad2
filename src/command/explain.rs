//! Reconstructs the path of one request from the logs of all instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::PathBuf;

use serde_json::json;

use super::log_lines::LogLine;
use super::log_lines::read_log_lines;
use crate::errors::Code;
use crate::errors::CodedError;
use crate::errors::TABLE;

/// Number of lines about the same content from other requests that are shown.
const CONTENT_LINES_MAX: usize = 8;
/// Number of lines about a server around the time of a send that are shown.
const SERVER_LINES_MAX: usize = 3;

/// Log lines that are not about the request itself but may explain it.
#[derive(Debug, Default)]
struct Context {
    /// Lines on the listing and unlisting of each server.
    servers: BTreeMap<String, Vec<LogLine>>,
    /// Lines that sum up many such changes at once.
    bulk_changes: Vec<LogLine>,
    /// Lines on evacuations and readmissions of zones, in log order.
    zones: Vec<LogLine>,
    /// When each configuration version took effect on each instance.
    versions: BTreeMap<(String, u64), String>,
    /// Lines on each content fingerprint of requests to which servers gave no response.
    content_lines: BTreeMap<String, Vec<LogLine>>,
    /// Lines with a count of lines that the instance dropped before them.
    dropped: Vec<LogLine>,
}

impl Context {
    /// Adds a line if it is of a kind that may explain the request.
    fn add_line(&mut self, line: LogLine) {
        if line.number("lines_dropped_before").is_some() {
            self.dropped.push(line.clone());
        }
        match line.event.as_str() {
            "config-in-force" => {
                let version = line.number("version").unwrap_or(0);
                self.versions.insert((line.instance.clone(), version), line.time);
            }
            "server-listed" | "server-unlisted" => {
                self.servers.entry(line.text("server")).or_default().push(line);
            }
            "no-answer" | "suspect-answered" => {
                self.content_lines.entry(line.text("content")).or_default().push(line);
            }
            "request-quarantined" => {
                self.content_lines.entry(line.text("fingerprint")).or_default().push(line);
            }
            "servers-changed" => self.bulk_changes.push(line),
            "zone-evacuated" | "zone-readmitted" => self.zones.push(line),
            _ => {}
        }
    }

    /// What one instance last logged about a server up to `time`, and the next lines after it.
    fn server_lines_around(&self, server: &str, instance: &str, time: &str) -> Vec<&LogLine> {
        let lines = self.servers.get(server).map_or(&[][..], Vec::as_slice);
        let lines = lines.iter().chain(&self.bulk_changes);
        let mut instance_lines: Vec<&LogLine> =
            lines.filter(|line| line.instance == instance).collect();
        instance_lines.sort_by(|a, b| a.time.cmp(&b.time));
        let after = instance_lines.partition_point(|line| line.time.as_str() <= time);
        let from = after.saturating_sub(1);
        instance_lines.into_iter().skip(from).take(SERVER_LINES_MAX).collect()
    }
}

impl Context {
    /// The zones that were evacuated on an instance at `time`, with the time since when.
    fn evacuated_zones(&self, instance: &str, time: &str) -> BTreeMap<String, &str> {
        let before = |line: &&LogLine| line.instance == instance && line.time.as_str() <= time;
        let mut instance_lines: Vec<&LogLine> = self.zones.iter().filter(before).collect();
        instance_lines.sort_by(|a, b| a.time.cmp(&b.time));
        let mut evacuated = BTreeMap::new();
        for line in instance_lines {
            if line.event == "zone-evacuated" {
                evacuated.insert(line.text("zone"), line.time.as_str());
            } else {
                evacuated.remove(&line.text("zone"));
            }
        }
        evacuated
    }
}

/// Describes the path of the request `id` through all instances, in order of time.
///
/// # Errors
/// `RequestNotLogged` if no line has the id; `LogUnreadable`, with the file.
pub fn explain(id: &str, files: &[PathBuf], as_json: bool) -> Result<String, CodedError> {
    let mut context = Context::default();
    let mut request_lines = Vec::new();
    let read = read_log_lines(files, |line| {
        // The check of a server that gave no response ends after the request. Its line is not one
        // of the request's own and names the request in the field `request`.
        if line.text("id") == id || line.text("request") == id {
            request_lines.push(line);
        } else {
            context.add_line(line);
        }
    })?;
    if request_lines.is_empty() {
        let detail = format!("no line of {read} bears the id '{id}'");
        return Err(CodedError::new(Code::RequestNotLogged, detail));
    }
    request_lines.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(if as_json { to_json(&request_lines) } else { to_text(&request_lines, &context) })
}

fn to_json(request_lines: &[LogLine]) -> String {
    let lines = request_lines.iter().map(|line| {
        json!({
            "time": line.time, "instance": line.instance, "event": line.event,
            "told": describe(line),
        })
    });
    let lines: Vec<_> = lines.collect();
    format!("{:#}\n", json!(lines))
}

fn to_text(request_lines: &[LogLine], context: &Context) -> String {
    let mut text = String::new();
    let mut line = |parts: &[&str]| {
        text.push_str(&parts.concat());
        text.push('\n');
    };
    for entry in request_lines {
        line(&[&entry.time, "  ", &entry.instance, "  ", &describe(entry)]);
        if entry.event == "send" {
            for known in
                context.server_lines_around(&entry.text("server"), &entry.instance, &entry.time)
            {
                line(&["    ", &known.time, "  ", &describe_server(known)]);
            }
        }
        if matches!(entry.event.as_str(), "send" | "no-slot") {
            for (zone, since) in context.evacuated_zones(&entry.instance, &entry.time) {
                line(&["    zone ", &zone, " evacuated since ", since]);
            }
        }
        if let Some(since) = in_force_since(entry, context) {
            line(&["    version ", &entry.text("version"), " in force here since ", since]);
        }
        // A denial has the same code as the response line that follows it.
        let failure_meaning = meaning(entry).filter(|_| entry.event != "request-denied");
        if let Some((meaning, remedy)) = failure_meaning {
            line(&["    ", meaning, " ", remedy]);
        }
    }
    for known in same_content_lines(request_lines, context) {
        line(&["same content: ", &known.time, "  ", &known.instance, "  ", &describe(known)]);
    }
    for gap in describe_dropped_lines(request_lines, context) {
        line(&[&gap]);
    }
    text
}

/// The first lines about the request's content, from all instances.
fn same_content_lines<'a>(request_lines: &[LogLine], context: &'a Context) -> Vec<&'a LogLine> {
    let names = |line: &LogLine| ["exact", "by_caller", "content"].map(|name| line.text(name));
    let names: BTreeSet<String> = request_lines.iter().flat_map(names).collect();
    let known = names.iter().filter_map(|content| context.content_lines.get(content));
    let mut known: Vec<&LogLine> = known.flatten().collect();
    known.sort_by(|a, b| a.time.cmp(&b.time));
    known.truncate(CONTENT_LINES_MAX);
    known
}

/// Describes a log line in words.
fn describe(line: &LogLine) -> String {
    let text = |name: &str| line.text(name);
    match line.event.as_str() {
        "send" => format!(
            "send {} to server {} of {}: {} after {} ms (requests there {}, expected {} ms, its \
             pace known for {}{}{})",
            text("send"),
            text("server"),
            text("service"),
            text("outcome"),
            text("took_ms"),
            text("running"),
            text("expected_ms"),
            describe_estimate_age(line),
            if line.flag("cold") { ", cold" } else { "" },
            describe_limit(line),
        ),
        "no-slot" => format!(
            "no slot of {}: {}, {} waiting here, {} slots in use at most{}; come back after {} ms{}",
            text("service"),
            if line.flag("no_server") { "no other server may be used" } else { "none in time" },
            text("waiting"),
            text("slots"),
            describe_restricted_servers(line),
            text("retry_after_ms"),
            if line.flag("may_have_run") { "; an earlier send may have run" } else { "" },
        ),
        "retry-denied" => format!(
            "no further send to {}: {}; {} of {} retries made here in the window, {} kept (rank \
             {}, priority {}{})",
            text("service"),
            describe_retry_denial(&text("reason")),
            text("spent"),
            text("allowed"),
            text("reserved"),
            text("rank"),
            text("priority"),
            if line.flag("late") { ", late" } else { "" },
        ),
        "request" => format!(
            "answered {} with code {} after {} ms (route {}, service {}, version {})",
            text("status"),
            text("code"),
            text("took_ms"),
            text("route"),
            text("service"),
            text("version"),
        ),
        "request-rejected" => format!(
            "not forwarded: {} with code {} (version {})",
            text("status"),
            text("code"),
            text("version"),
        ),
        "no-answer" => format!(
            "server {} of {} was looked for after it gave no answer: {}",
            text("server"),
            text("service"),
            if line.flag("server_ended") { "it takes no connection" } else { "it is there" },
        ),
        "request-denied" => format!("not sent on; come back after {} ms", text("retry_after_ms")),
        other => format!("{other} {}", text("message")),
    }
}

/// Describes why a retry was denied.
fn describe_retry_denial(reason: &str) -> &'static str {
    match reason {
        "spent" => "this instance's part of the service's retry budget is spent",
        "reserved" => "what is left of this instance's part is kept for more urgent requests",
        "servers-rejecting" => "nearly all sends to the service are rejected",
        _ => "the reason is not known",
    }
}

/// Describes how many servers are rate-limited or in cooldown, if any.
fn describe_restricted_servers(line: &LogLine) -> String {
    let count = |name: &str| line.number(name).filter(|count| *count > 0);
    let limited = count("in_need").map(|count| format!(", {count} servers name limits"));
    let resting = count("resting").map(|count| format!(", {count} servers rest"));
    limited.into_iter().chain(resting).collect()
}

/// Describes the rate limit that a send was subject to, if any.
fn describe_limit(line: &LogLine) -> String {
    let limit_per_s = line.text("limit_per_s");
    if limit_per_s.is_empty() { limit_per_s } else { format!(", limited to {limit_per_s}/s") }
}

/// Describes for how long the instance had known the server's speed at a send.
fn describe_estimate_age(line: &LogLine) -> String {
    line.number("pace_age_us").map_or_else(|| "no time".into(), |age_us| format!("{age_us} us"))
}

/// Describes a line about the list of servers in words.
fn describe_server(line: &LogLine) -> String {
    if line.event == "server-unlisted" {
        return format!("server {} unlisted", line.text("server"));
    }
    if line.event == "servers-changed" {
        let (listed, unlisted) = (line.text("listed"), line.text("unlisted"));
        return format!("many at once: {listed} servers listed, {unlisted} unlisted");
    }
    let draining = if line.flag("draining") { ", draining" } else { "" };
    let warmup = match line.number("warmup_ms") {
        Some(warmup_ms) if warmup_ms > 0 => format!(", slow for {warmup_ms} ms more"),
        _ => String::new(),
    };
    format!("server {} listed at {}{draining}{warmup}", line.text("server"), line.text("address"))
}

/// When the configuration version that a line names took effect on its instance.
fn in_force_since<'a>(line: &LogLine, context: &'a Context) -> Option<&'a str> {
    let key = (line.instance.clone(), line.number("version")?);
    context.versions.get(&key).map(String::as_str)
}

/// Meaning and remedy of a line's result code, if that is a failure.
fn meaning(line: &LogLine) -> Option<(&'static str, &'static str)> {
    let number = line.number("code").filter(|number| *number != 0)?;
    let known = TABLE.iter().find(|(code, ..)| u64::from(code.number()) == number);
    known.map(|(_, meaning, remedy)| (*meaning, *remedy))
}

/// A note for each gap in the logs of the instances that handled the request.
fn describe_dropped_lines(request_lines: &[LogLine], context: &Context) -> Vec<String> {
    let instances: BTreeSet<&str> =
        request_lines.iter().map(|line| line.instance.as_str()).collect();
    let dropped = request_lines.iter().chain(&context.dropped).filter_map(|line| {
        let count = line.number("lines_dropped_before")?;
        let on_path = instances.contains(line.instance.as_str());
        on_path.then(|| format!("{} dropped {count} lines before {}", line.instance, line.time))
    });
    dropped.collect()
}
