//! The tokens that an instance may spend on probes.
//!
//! A budget of B probes a second is B tokens, each good for one probe in any second. Token `t`
//! belongs to shard `t mod shards`, whole: a fraction of a probe a second on each of 19 instances
//! would let all of them probe in the same second. A shard grants its tokens to a home for a
//! time; the home counts that time from before it asked, the shard from when it granted, so the
//! home always stops first.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;

/// Time between two probes of one token. Above one second, so that probes sent apart do not
/// arrive within the same second by differences of the way.
const TOKEN_INTERVAL_MS: u64 = 1_250;

/// How many of the `budget` tokens belong to `shard`.
#[must_use]
pub const fn tokens_of_shard(budget: u32, shard: u32, shards: u32) -> u32 {
    let whole = budget / shards;
    if shard < budget % shards { whole + 1 } else { whole }
}

#[derive(Clone, Copy, Debug)]
struct Token {
    /// The right to spend ends then.
    expires_ms: u64,
    /// Not before then; set anew by each probe.
    ready_at_ms: u64,
}

#[derive(Debug, Default)]
struct ServiceTokens {
    /// By giver; a giver's new grant takes the place of its old one.
    tokens: HashMap<u64, Vec<Token>>,
    /// Own tokens were granted away until then.
    granted_until_ms: u64,
}

/// All tokens of one instance, by service; clones share.
#[derive(Clone, Debug, Default)]
pub struct TokenBuckets {
    by_service: Arc<Mutex<HashMap<String, ServiceTokens>>>,
}

/// A token that was taken out; it is ready again an interval after [`TakenToken::done`], or after it
/// was taken, whichever is later: a pause between the two cannot bring two probes together.
#[derive(Debug)]
pub struct TakenToken {
    buckets: TokenBuckets,
    service: String,
    grantor: u64,
    at: usize,
}

impl TakenToken {
    /// Takes note that the probe was sent, now.
    pub fn mark_sent(self, now_ms: u64) {
        let mut by_service = self.buckets.by_service.lock();
        let service_tokens = by_service.get_mut(&self.service);
        let tokens =
            service_tokens.and_then(|service_tokens| service_tokens.tokens.get_mut(&self.grantor));
        if let Some(token) = tokens.and_then(|tokens| tokens.get_mut(self.at)) {
            token.ready_at_ms = token.ready_at_ms.max(now_ms + TOKEN_INTERVAL_MS);
        }
    }
}

impl TokenBuckets {
    /// Puts `count` tokens of `giver` in, good until `until_ms`. Tokens that were there keep
    /// their pace, and fresh ones wait an interval: who had them before may just have spent them.
    pub fn put_tokens(&self, service: &str, grantor: u64, count: u32, until_ms: u64, now_ms: u64) {
        let mut by_service = self.by_service.lock();
        let service_tokens = by_service.entry(service.to_owned()).or_default();
        let tokens = service_tokens.tokens.entry(grantor).or_default();
        let still_valid = tokens.iter().all(|token| now_ms < token.expires_ms);
        if !still_valid {
            tokens.clear();
        }
        tokens.resize(
            count as usize,
            Token { expires_ms: until_ms, ready_at_ms: now_ms + TOKEN_INTERVAL_MS },
        );
        for token in tokens {
            token.expires_ms = until_ms;
        }
    }

    /// Grants the own tokens away until `until_ms`, if no other grant of them stands and they
    /// have not just been spent; tells whether they were granted.
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

    /// Whether the own tokens are granted away.
    #[must_use]
    pub fn own_granted(&self, service: &str, now_ms: u64) -> bool {
        let by_service = self.by_service.lock();
        by_service
            .get(service)
            .is_some_and(|service_tokens| now_ms < service_tokens.granted_until_ms)
    }

    /// Takes a token out for one probe.
    #[must_use]
    pub fn try_take(&self, service: &str, now_ms: u64) -> Option<TakenToken> {
        let mut by_service = self.by_service.lock();
        let service_tokens = by_service.get_mut(service)?;
        for (grantor, tokens) in &mut service_tokens.tokens {
            let ready = |token: &Token| token.ready_at_ms <= now_ms && now_ms < token.expires_ms;
            if let Some(at) = tokens.iter().position(ready) {
                tokens[at].ready_at_ms = now_ms + TOKEN_INTERVAL_MS;
                let (service, giver) = (service.to_owned(), *grantor);
                return Some(TakenToken { buckets: self.clone(), service, grantor: giver, at });
            }
        }
        None
    }

    /// Takes the own tokens out: the shard that they came with is lost.
    pub fn drop_own(&self, service: &str, own: u64) {
        if let Some(service_tokens) = self.by_service.lock().get_mut(service) {
            service_tokens.tokens.remove(&own);
        }
    }

    /// Takes all tokens out: the shard that they came with is lost. Grants given stand.
    pub fn clear(&self) {
        for service_tokens in self.by_service.lock().values_mut() {
            service_tokens.tokens.clear();
        }
    }
}
