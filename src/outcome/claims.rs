//! Who owns a key without prefix, told by the platform's store.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use super::KeyPrefix;
use crate::store::Store;

const CLAIMS_PREFIX: &str = "sorrelwick/claims";
/// Reads that resolve a lost answer before the claim counts as unavailable.
const READ_BACK_ATTEMPTS: u32 = 3;
const READ_BACK_PAUSE: Duration = Duration::from_millis(50);

fn claim_key(service: &str, key: &str) -> String {
    format!("{CLAIMS_PREFIX}/{service}/{:032x}", xxh3_128(key.as_bytes()))
}

/// Binds a plain key to `own` unless it is bound already; returns whom it is bound to.
///
/// The claim is created only if absent, so that of several instances one wins. When the answer
/// is lost the claim that stands is read back, ours or another's: either way it names the one
/// process that may run the key. `None` when the store does not tell; nothing may run then, and
/// nobody may be told `not-run` either, since the key may have run before.
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
    for turn in 0..READ_BACK_ATTEMPTS {
        if turn > 0 {
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
