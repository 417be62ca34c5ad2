//! Claims on keys without a prefix: the platform's store records which instance owns each.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use super::KeyPrefix;
use crate::store::Store;

const ROOT: &str = "sorrelwick/claims";
/// Reads of a claim after its creation failed or was not confirmed; then it counts as unavailable.
const READ_BACK_ATTEMPTS: u32 = 3;
const READ_BACK_PAUSE: Duration = Duration::from_millis(50);

fn claim_key(service: &str, key: &str) -> String {
    format!("{ROOT}/{service}/{:032x}", xxh3_128(key.as_bytes()))
}

/// Binds a plain key to `own` unless it is already bound; returns the owner it is bound to.
///
/// The claim is created only if absent, so exactly one of several instances wins. If the answer
/// is lost, the existing claim is read, no matter whose: it names the one process that may run the
/// key. `None` if the store does not answer; the request must not run then, and its outcome is not
/// `not-run` either, because the key may have run before.
pub async fn claim<S: Store>(
    store: &S,
    service: &str,
    key: &str,
    own: KeyPrefix,
) -> Option<KeyPrefix> {
    let path = claim_key(service, key);
    let value = format!("{own}-{key}");
    if store.put_if(&path, value.as_bytes(), 0).await == Ok(true) {
        return Some(own);
    }
    for attempt in 0..READ_BACK_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(READ_BACK_PAUSE).await;
        }
        if let Ok(Some(entry)) = store.get(&path).await {
            let text = String::from_utf8(entry.value).ok()?;
            let (owner, claimed) = KeyPrefix::parse(&text)?;
            return (claimed == key).then_some(owner);
        }
    }
    None
}
