//! Commands over all instances: `status` and `timeline`.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::ToolClient;
use crate::errors::CodedError;
use crate::r#gen as wire;

/// Low bits of an event's stamp that hold a counter; the upper bits are Unix milliseconds.
const STAMP_COUNTER_BITS: u32 = 16;
/// Member states in which an instance is queried.
const QUERIED_STATES: [&str; 3] = ["alive", "suspect", "leaving"];

/// The reply of one instance, or the error of the call.
struct InstanceReply<T> {
    name: String,
    zone: String,
    state: String,
    reply: Result<T, CodedError>,
}

/// The instances that the first one knows, each with a client for its own listener.
async fn connect_all(
    client: &mut ToolClient,
    token: &str,
) -> Result<Vec<InstanceReply<ToolClient>>, CodedError> {
    let first = client.status().await?;
    let instances = first.instances.into_iter().map(|row| InstanceReply {
        reply: ToolClient::open(&row.operator_address, token),
        name: row.name,
        zone: row.zone,
        state: row.state,
    });
    Ok(instances.collect())
}

fn is_queried<T>(instance: &InstanceReply<T>) -> bool {
    QUERIED_STATES.contains(&instance.state.as_str())
}

/// The revision in force of each service that is not deleted, by service name.
fn active_revisions(status: &wire::StatusResponse) -> BTreeMap<&str, u64> {
    let live = status.revisions.iter().filter(|row| !row.deleted);
    live.map(|row| (row.service.as_str(), row.revision)).collect()
}

fn status_json(all: &[InstanceReply<wire::StatusResponse>]) -> String {
    let rows: Vec<serde_json::Value> = all
        .iter()
        .map(|instance| match &instance.reply {
            Ok(status) => serde_json::json!({
                "name": instance.name,
                "zone": instance.zone,
                "state": instance.state,
                "store_reachable": status.store_reachable,
                "revisions": active_revisions(status),
                "counters": status.counters.iter().map(|c| (c.name.as_str(), c.value))
                    .collect::<BTreeMap<_, _>>(),
            }),
            Err(err) => serde_json::json!({
                "name": instance.name, "zone": instance.zone, "state": instance.state,
                "error": err.to_string(),
            }),
        })
        .collect();
    format!("{}\n", serde_json::Value::from(rows))
}

fn status_text(all: &[InstanceReply<wire::StatusResponse>]) -> String {
    let mut text =
        format!("{:<16} {:<14} {:<8} {:<6} IN FORCE\n", "INSTANCE", "ZONE", "STATE", "STORE");
    for instance in all {
        let head = format!("{:<16} {:<14} {:<8}", instance.name, instance.zone, instance.state);
        let _ = match &instance.reply {
            Ok(status) => {
                let store = if status.store_reachable { "up" } else { "down" };
                let revisions: Vec<String> = active_revisions(status)
                    .iter()
                    .map(|(name, rev)| format!("{name}@{rev}"))
                    .collect();
                writeln!(text, "{head} {store:<6} {}", revisions.join(" "))
            }
            Err(err) => writeln!(text, "{head} {:<6} {err}", "?"),
        };
    }
    text
}

/// Shows all instances with their zones and active revisions, as reported by each instance itself.
///
/// # Errors
/// The error of the first instance; the errors of others are shown in their rows.
pub async fn status(
    client: &mut ToolClient,
    token: &str,
    json: bool,
) -> Result<String, CodedError> {
    let mut all = Vec::new();
    for instance in connect_all(client, token).await?.into_iter().filter(is_queried) {
        let reply = match instance.reply {
            Ok(mut client) => client.status().await,
            Err(err) => Err(err),
        };
        all.push(InstanceReply {
            name: instance.name,
            zone: instance.zone,
            state: instance.state,
            reply,
        });
    }
    Ok(if json { status_json(&all) } else { status_text(&all) })
}

fn event_text(event: &wire::Event) -> String {
    let ms = event.stamp >> STAMP_COUNTER_BITS;
    let (s, ms) = (ms / 1000, ms % 1000);
    let (hour, minute, second) = (s / 3600 % 24, s / 60 % 60, s % 60);
    let (instance, kind, detail) = (&event.instance, &event.kind, &event.detail);
    format!("{hour:02}:{minute:02}:{second:02}.{ms:03} {instance:<16} {kind:<16} {detail}\n")
}

/// Shows the events of all instances, ordered by hybrid logical clock (times are UTC).
///
/// # Errors
/// The error of the first instance; an instance whose call fails is left out and named on standard
/// error.
pub async fn timeline(
    client: &mut ToolClient,
    token: &str,
    json: bool,
) -> Result<String, CodedError> {
    let mut events = Vec::new();
    for instance in connect_all(client, token).await?.into_iter().filter(is_queried) {
        let Ok(mut client) = instance.reply else {
            continue;
        };
        match client.timeline().await {
            Ok(more) => events.extend(more),
            Err(err) => eprintln!("{}: {err}", instance.name),
        }
    }
    events.sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    if json {
        let rows: Vec<serde_json::Value> = events
            .iter()
            .map(|event| {
                serde_json::json!({
                    "stamp": event.stamp, "instance": event.instance,
                    "kind": event.kind, "detail": event.detail,
                })
            })
            .collect();
        return Ok(format!("{}\n", serde_json::Value::from(rows)));
    }
    Ok(events.iter().map(event_text).collect())
}
