//! What must hold of the configuration for a request to be admitted, or rejected for good.

use std::sync::Arc;
use std::time::Duration;

use super::Caller;
use super::RouteTable;
use super::caller_handler::CurrentRouteTable;
use super::mirror_age::MirrorAge;
use super::reply::LocalReply;
use crate::conf::GatewaySettings;
use crate::errors::Code;

/// Part of the time for which a key that was taken away may be served: the rest is for clocks that differ.
const PROOF_AGE_REJECT_RATIO: f64 = 0.9;
/// Part of it after which callers are sent to other instances.
const PROOF_AGE_UNREADY_RATIO: f64 = 0.6;
/// When to come back: another instance, or this one a moment later, has asked the store.
const STALE_CONFIG_RETRY_MS: u64 = 200;

/// The configuration in force, and how far it can be relied on; clones share.
#[derive(Clone, Debug)]
pub struct Admission {
    pub table: CurrentRouteTable,
    age: Arc<MirrorAge>,
    /// A version is in force everywhere within this.
    config_apply: Duration,
    /// For so long a key may be served after it was taken away; not bounded without.
    key_revocation: Option<Duration>,
}

fn stale_config_reply() -> LocalReply {
    LocalReply::not_run(Code::ConfigurationUnproved, STALE_CONFIG_RETRY_MS)
}

impl Admission {
    /// Relies on `table` as far as `age` and the bounds of the settings allow.
    #[must_use]
    pub fn new(table: CurrentRouteTable, age: Arc<MirrorAge>, settings: &GatewaySettings) -> Self {
        Self {
            table,
            age,
            config_apply: Duration::from_millis(settings.config_apply_ms),
            key_revocation: settings.key_revocation_ms.map(Duration::from_millis),
        }
    }

    fn confirmed_within(&self, part: f64) -> bool {
        self.key_revocation
            .is_none_or(|bound| self.age.proof_age().is_some_and(|age| age <= bound.mul_f64(part)))
    }

    /// Whether callers should be sent here: keys will hold for a while.
    #[must_use]
    pub fn accepts_callers(&self) -> bool {
        let any_keys = self.table.load().as_ref().is_some_and(|table| table.workspaces.is_some());
        !any_keys || self.confirmed_within(PROOF_AGE_UNREADY_RATIO)
    }

    /// Whether what is in force is proved to be new enough to serve anybody by a key.
    ///
    /// # Errors
    /// The final answer where it is not.
    pub fn check_freshness(&self) -> Result<(), LocalReply> {
        if self.confirmed_within(PROOF_AGE_REJECT_RATIO) {
            Ok(())
        } else {
            Err(stale_config_reply())
        }
    }

    /// Whether a caller who was admitted before may still be served.
    ///
    /// # Errors
    /// The final answer where the key opens nothing any more, or nobody knows.
    pub fn check_caller(&self, caller: Option<&Caller>) -> Result<(), LocalReply> {
        let Some(caller) = caller else {
            return Ok(());
        };
        self.check_freshness()?;
        let table = self.table.load();
        if table.as_ref().is_some_and(|table| caller.still_authenticated(table)) {
            return Ok(());
        }
        Err(self.reject_or_retry(LocalReply::key_rejected()))
    }

    /// A rejection for good, if the table that it goes by cannot be older than a version may take to be in
    /// force everywhere: a route or key that is missing may be new.
    #[must_use]
    pub fn reject_or_retry(&self, rejection: LocalReply) -> LocalReply {
        if rejection.retry_after_ms.is_none() && self.age.age() > self.config_apply {
            return stale_config_reply();
        }
        rejection
    }

    /// The route table, or the answer that there is none.
    ///
    /// # Errors
    /// Without any configuration.
    pub fn table(&self, retry_after_ms: u64) -> Result<Arc<RouteTable>, LocalReply> {
        let table = self.table.load_full();
        table.ok_or_else(|| LocalReply::not_run(Code::NoConfiguration, retry_after_ms))
    }
}
