//! Watches the store, on a few instances of each zone.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use log::error;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Committer;
use super::ServiceRows;
use super::spread::merge_rows;
use super::spread::push_rows;
use crate::board::Blackboard;
use crate::errors::Code;
use crate::model::VersionedService;
use crate::model::check_service;
use crate::peer::Links;
use crate::store::Entry;
use crate::store::Listing;
use crate::store::Store;
use crate::store::UnreadableEntries;

/// Prefix of the services' keys in the store.
pub const SERVICES_PREFIX: &str = "sorrelwick/services/";
/// Pause after a failed watch, in milliseconds, plus jitter of up to as much, so that a store that
/// is down is not called in a tight loop.
const WATCH_RETRY_MS: u64 = 300;
/// Interval at which an instance that is not a watcher checks whether it has become one.
const NOT_WATCHER_PAUSE: Duration = Duration::from_millis(500);

/// Decodes a service's row from the store. Only a row that operators could have committed is valid:
/// other writers may have chosen its name or its values.
///
/// # Errors
/// Why it is invalid.
pub fn decode_entry(entry: &Entry) -> Result<(String, VersionedService), String> {
    let name = entry.key.strip_prefix(SERVICES_PREFIX).ok_or("not below the services")?;
    let row: VersionedService =
        serde_json::from_slice(&entry.value).map_err(|err| err.to_string())?;
    if row.revision == u64::MAX {
        return Err("revision: no other can follow".into());
    }
    if let Some(service) = &row.service {
        if service.name != name {
            return Err(format!("name: {:?} is another service", service.name));
        }
        check_service(service).map_err(|err| err.to_string())?;
    }
    Ok((name.to_owned(), row))
}

/// The valid rows of a listing. The others are logged, each once for each reason.
fn decode_listing(listing: &Listing, unreadable: &mut UnreadableEntries) -> ServiceRows {
    let mut rows = ServiceRows::new();
    for entry in &listing.entries {
        match decode_entry(entry) {
            Ok(row) => {
                unreadable.remove(&entry.key);
                rows.push(row);
            }
            Err(why) => report_unreadable(entry, &why, unreadable),
        }
    }
    rows
}

fn report_unreadable(entry: &Entry, why: &str, unreadable: &mut UnreadableEntries) {
    if unreadable.record(&entry.key, why) {
        error!(
            event = "service-unreadable", code = Code::ServiceUnreadable.number(),
            key = entry.key.as_str(), why = why;
            "{}", Code::ServiceUnreadable
        );
    }
}

/// Whether this instance is one of those in its zone that watch the store.
///
/// Each instance decides by its own view of the members. Where views differ, one watcher too many
/// or too few runs for a while, and the repair by digests makes up for missed changes.
#[must_use]
pub fn is_watcher(board: &Blackboard) -> bool {
    let Some(platform) = &board.settings.platform else {
        return true;
    };
    let view = board.members_view();
    let zone = &board.settings.instance.zone;
    let rank = |incarnation: u64| xxh3_64_with_seed(zone.as_bytes(), incarnation);
    let own = rank(board.incarnation);
    let in_zone = view.rows.iter().filter(|row| row.zone == *zone && row.state.accepts_work());
    in_zone.filter(|row| rank(row.incarnation) > own).count() < platform.watchers_per_zone
}

/// Sleeps for `ms` plus random jitter of up to as much.
async fn sleep_with_jitter(ms: u64) {
    let jitter_ms = rand::rng().random_range(0..=ms);
    tokio::time::sleep(Duration::from_millis(ms + jitter_ms)).await;
}

/// Writes back the committed rows that a listing of all services lacks: the store was restored from
/// an earlier copy. A row that the store got since the listing is not overwritten, nor one that
/// cannot be read.
async fn write_back_lost_rows<S: Store>(
    board: &Blackboard,
    store: &S,
    listing: &Listing,
    rows: &ServiceRows,
) {
    let summary: Vec<(String, u64)> =
        rows.iter().map(|(name, row)| (name.clone(), row.revision)).collect();
    let lost = board.catalog.lock().rows_newer_than(&summary);
    if lost.is_empty() {
        return;
    }
    let readable: HashSet<&str> = rows.iter().map(|(name, _)| name.as_str()).collect();
    let listed: HashMap<&str, u64> =
        listing.entries.iter().map(|entry| (entry.key.as_str(), entry.index)).collect();
    let committer = Committer::new(store.clone());
    for (name, row) in lost {
        let index = listed.get(format!("{SERVICES_PREFIX}{name}").as_str()).copied();
        if index.is_some() && !readable.contains(name.as_str()) {
            continue;
        }
        if let Err(error) = committer.write_back(&name, &row, index.unwrap_or(0)).await {
            // The next listing lacks the row too.
            board.record_store_result(Some(error.to_string()));
        }
    }
}

/// Watches the store and pushes changes to the instances of the zone.
pub async fn run_watcher<S: Store>(board: Arc<Blackboard>, store: S, links: Links) {
    let wait_ms = board.settings.platform.as_ref().map_or(10_000, |p| p.watch_wait_ms);
    let mut index = 0;
    let mut unreadable = UnreadableEntries::default();
    loop {
        if !is_watcher(&board) {
            index = 0;
            tokio::time::sleep(NOT_WATCHER_PAUSE).await;
            continue;
        }
        let listing = store.watch(SERVICES_PREFIX, index, Duration::from_millis(wait_ms)).await;
        board.record_store_result(listing.as_ref().err().map(ToString::to_string));
        let Ok(listing) = listing else {
            index = 0;
            sleep_with_jitter(WATCH_RETRY_MS).await;
            continue;
        };
        let rows = decode_listing(&listing, &mut unreadable);
        if listing.index != index {
            write_back_lost_rows(&board, &store, &listing, &rows).await;
        }
        // A lower index means that the store was replaced or restored: list all entries again.
        index = if listing.index < index { 0 } else { listing.index };
        let updated = merge_rows(&board, rows);
        push_rows(&board, &links, &updated);
    }
}
