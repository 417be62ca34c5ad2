//! Samples of a mirror: a few items for instances that rarely need any.

use std::time::Duration;

use super::mirror::Mirror;
use super::mirror_age::FRESH_AGE_MAX;
use super::mirror_sink::Sink;
use super::mirror_state::MirrorState;
use crate::clock::boot_us;
use crate::peer::FeedReply;
use crate::peer::FeedResponse;
use crate::peer::Packed;
use crate::store::Item;
use crate::store::Revision;

/// The sample for one zone.
#[derive(Debug)]
pub(super) struct Sample {
    items: Packed<Vec<Item>>,
    /// Revision at which the sample last changed.
    changed_at: Revision,
}

impl<K: Sink> Mirror<K> {
    /// Returns the sample for a zone if it has changed since revision `after`; waits up to `wait`
    /// for a change.
    pub async fn serve_sample(
        &self,
        zone: u64,
        after: Option<Revision>,
        wait: Duration,
    ) -> FeedResponse {
        let asked_us = boot_us();
        let mut sample_rx = self.sample_revision.subscribe();
        let changed = self.state.lock().sample(zone).map(|sample| sample.changed_at);
        if let (Some(changed), Some(after)) = (changed, after)
            && after >= changed
        {
            let wait = wait.min(FRESH_AGE_MAX.saturating_sub(self.age()));
            // If the time is over, the reply contains no events.
            let _ =
                tokio::time::timeout(wait, sample_rx.wait_for(|changed| *changed > after)).await;
        }
        self.reply_with_age(asked_us, |state| state.sample_reply(zone, after))
    }
}

impl<K: Sink> MirrorState<K> {
    fn sample_items(&self, zone: u64) -> Vec<Item> {
        let keys = self.sink.sample_keys(zone);
        keys.iter().filter_map(|key| self.items.get(key).cloned()).collect()
    }

    /// The sample for a zone, drawn on the first request; `None` unless all keys are loaded.
    fn sample(&mut self, zone: u64) -> Option<&Sample> {
        let revision = self.revision.filter(|_| self.full)?;
        if !self.samples.contains_key(&zone) {
            let items = self.sample_items(zone).into();
            self.samples.insert(zone, Sample { items, changed_at: revision });
        }
        self.samples.get(&zone)
    }

    /// Redraws all samples in use; returns the current revision if one changed.
    pub(super) fn refresh_samples(&mut self) -> Option<Revision> {
        let revision = self.revision?;
        let reflected_early = std::mem::take(&mut self.reflected_early);
        let zones: Vec<u64> = self.samples.keys().copied().collect();
        let mut any = None;
        for zone in zones {
            let items = self.sample_items(zone);
            if let Some(sample) = self.samples.get_mut(&zone)
                && (reflected_early || *sample.items != items)
            {
                *sample = Sample { items: items.into(), changed_at: revision };
                any = Some(revision);
            }
        }
        any
    }

    /// The sample for a zone, or no events if it is unchanged since `after`.
    fn sample_reply(&mut self, zone: u64, after: Option<Revision>) -> FeedReply {
        let revision = self.revision;
        let (Some(sample), Some(revision)) = (self.sample(zone), revision) else {
            return FeedReply::Unknown;
        };
        if after.is_some_and(|after| after >= sample.changed_at) {
            return FeedReply::Events { events: Vec::new().into(), revision };
        }
        FeedReply::Snapshot { items: sample.items.clone(), revision }
    }
}
