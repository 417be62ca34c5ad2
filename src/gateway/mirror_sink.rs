//! What a mirror tells of its changes.

use std::time::Duration;

use crate::store::Item;
use crate::store::Revision;

/// Receives the changes of a mirror.
pub trait Sink: Send + 'static {
    /// Removes from an item what must not be kept or passed on. Called once for each item read from
    /// the store.
    fn redact(&self, _item: &mut Item) {}

    /// Called when a key was written.
    fn written(&mut self, item: &Item);

    /// Called when a key was removed. If `grace` is not zero, the key may be missing only because
    /// its writer's lease expired during a store outage; the writer then restores it within that
    /// time.
    fn removed(&mut self, key: &str, grace: Duration);

    /// Whether an item of a restored store is an older state than the one applied before. The mirror
    /// then keeps the known value for its peers until the writer repeats it.
    fn is_outdated(&self, _item: &Item) -> bool {
        false
    }

    /// Keys of a sample that suffices for instances of this zone that rarely serve requests.
    fn sample_keys(&self, _zone: u64) -> Vec<String> {
        Vec::new()
    }

    /// Called before the changes of one batch; [`Sink::end_batch`] follows them. `restored` tells
    /// that the batch is the content of a store that came back from an earlier copy: each item may
    /// be older than what was known before.
    fn begin_batch(&mut self, _restored: bool) {}

    /// Called after all changes of a batch, which ends at `revision`.
    fn end_batch(&mut self, _revision: Revision) {}
}
