//! The tokens that an instance may spend on probes.
//!
//! A budget of B probes per second is B tokens, each of which allows one probe in any second.
//! Token `t` belongs undivided to shard `t mod shards`: with a fraction of a probe per second on
//! each of 19 instances, all of them could probe in the same second. The holder of a shard grants
//! its tokens to a home for a limited time. The home counts that time from before its request, the
//! grantor from the grant, so the home always stops first.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;

/// Time between two probes with the same token. Above one second, so that different network
/// delays do not let both arrive within one second.
const TOKEN_INTERVAL_MS: u64 = 1_250;

/// How many of the `budget` tokens belong to `shard`.
#[must_use]
pub const fn tokens_of_shard(budget: u32, shard: u32, shards: u32) -> u32 {
    let whole = budget / shards;
    if shard < budget % shards { whole + 1 } else { whole }
}

/// The right to one probe in any second.
#[derive(Clone, Copy, Debug)]
struct Token {
    /// The token may be used only before this time.
    expires_ms: u64,
    /// The token may be used from this time on; each probe moves it.
    ready_at_ms: u64,
}

/// The tokens for one service.
#[derive(Debug, Default)]
struct ServiceTokens {
    /// By the incarnation of the grantor; its new grant replaces its old one. The tokens of this
    /// instance's own shard are under its own incarnation.
    tokens: HashMap<u64, Vec<Token>>,
    /// Until when this instance's own tokens are granted to another.
    granted_until_ms: u64,
}

/// All tokens of one instance, by service. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct TokenBuckets {
    by_service: Arc<Mutex<HashMap<String, ServiceTokens>>>,
}

/// A token taken for one probe. It is ready again one interval after it was taken or after
/// [`TakenToken::mark_sent`], whichever is later, so that a pause between the two cannot bring two
/// probes close together.
#[derive(Debug)]
pub struct TakenToken {
    buckets: TokenBuckets,
    service: String,
    grantor: u64,
    index: usize,
}

impl TakenToken {
    /// Records that the probe was sent at `now_ms`.
    pub fn mark_sent(self, now_ms: u64) {
        let mut by_service = self.buckets.by_service.lock();
        let service_tokens = by_service.get_mut(&self.service);
        let tokens =
            service_tokens.and_then(|service_tokens| service_tokens.tokens.get_mut(&self.grantor));
        if let Some(token) = tokens.and_then(|tokens| tokens.get_mut(self.index)) {
            token.ready_at_ms = token.ready_at_ms.max(now_ms + TOKEN_INTERVAL_MS);
        }
    }
}

impl TokenBuckets {
    /// Sets the tokens of `grantor` to `count`, valid until `expires_ms`. Those already held keep
    /// the time of their next probe; new ones wait one interval, because their previous holder may
    /// just have used them.
    pub fn put_tokens(
        &self,
        service: &str,
        grantor: u64,
        count: u32,
        expires_ms: u64,
        now_ms: u64,
    ) {
        let mut by_service = self.by_service.lock();
        let service_tokens = by_service.entry(service.to_owned()).or_default();
        let tokens = service_tokens.tokens.entry(grantor).or_default();
        let still_valid = tokens.iter().all(|token| now_ms < token.expires_ms);
        if !still_valid {
            tokens.clear();
        }
        tokens
            .resize(count as usize, Token { expires_ms, ready_at_ms: now_ms + TOKEN_INTERVAL_MS });
        for token in tokens {
            token.expires_ms = expires_ms;
        }
    }

    /// Marks this instance's own tokens as granted to another until `until_ms`, unless an earlier
    /// grant is still valid; returns whether they were granted.
    #[must_use]
    pub fn grant_own(&self, service: &str, own: u64, until_ms: u64, now_ms: u64) -> bool {
        let mut by_service = self.by_service.lock();
        let service_tokens = by_service.entry(service.to_owned()).or_default();
        if now_ms < service_tokens.granted_until_ms {
            return false;
        }
        service_tokens.granted_until_ms = until_ms;
        service_tokens.tokens.remove(&own);
        true
    }

    /// Whether this instance's own tokens are granted to another.
    #[must_use]
    pub fn own_granted(&self, service: &str, now_ms: u64) -> bool {
        let by_service = self.by_service.lock();
        by_service
            .get(service)
            .is_some_and(|service_tokens| now_ms < service_tokens.granted_until_ms)
    }

    /// Takes a ready token for one probe.
    #[must_use]
    pub fn try_take(&self, service: &str, now_ms: u64) -> Option<TakenToken> {
        let mut by_service = self.by_service.lock();
        let service_tokens = by_service.get_mut(service)?;
        for (grantor, tokens) in &mut service_tokens.tokens {
            let ready = |token: &Token| token.ready_at_ms <= now_ms && now_ms < token.expires_ms;
            if let Some(index) = tokens.iter().position(ready) {
                tokens[index].ready_at_ms = now_ms + TOKEN_INTERVAL_MS;
                let (service, grantor) = (service.to_owned(), *grantor);
                return Some(TakenToken { buckets: self.clone(), service, grantor, index });
            }
        }
        None
    }

    /// Removes this instance's own tokens, because their shard is lost.
    pub fn drop_own(&self, service: &str, own: u64) {
        if let Some(service_tokens) = self.by_service.lock().get_mut(service) {
            service_tokens.tokens.remove(&own);
        }
    }

    /// Removes all tokens, because the shard is lost. Grants to others remain valid.
    pub fn clear(&self) {
        for service_tokens in self.by_service.lock().values_mut() {
            service_tokens.tokens.clear();
        }
    }
}
