//! How much of its time a caller has spent on a request before it came here.

use std::collections::HashMap;

use parking_lot::Mutex;

/// Routes that are remembered; a table that grows further starts anew.
const ROUTES_MAX: usize = 10_000;

/// The longest time that callers of each route allow.
///
/// A caller that comes back after a refusal or a lost answer tells what it has left, which is less
/// than what callers of the route allow at first. The difference is gone from its aim too: without
/// this, one that came back would be given a slot in which it can only be late.
#[derive(Debug, Default)]
pub struct Patience {
    longest_ms: Mutex<HashMap<String, u64>>,
}

impl Patience {
    /// Time spent before by a caller that allows `told_ms` now.
    pub fn spent_ms(&self, route: &str, told_ms: u64) -> u64 {
        let mut longest_ms = self.longest_ms.lock();
        if let Some(longest_ms) = longest_ms.get_mut(route) {
            *longest_ms = told_ms.max(*longest_ms);
            return *longest_ms - told_ms;
        }
        if longest_ms.len() >= ROUTES_MAX {
            longest_ms.clear();
        }
        longest_ms.insert(route.to_owned(), told_ms);
        0
    }
}
