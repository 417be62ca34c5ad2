//! Counts panics. The runtime catches those of tasks, whose work is then lost without a trace.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Counts the panics of all threads from now on.
#[must_use]
pub fn count_panics() -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        counted.fetch_add(1, Ordering::SeqCst);
        before(info);
    }));
    count
}
