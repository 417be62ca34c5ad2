//! Checks whether the current configuration is fresh enough to admit a request or to reject it
//! permanently.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;

use super::Caller;
use super::Route;
use super::RouteTable;
use super::caller_handler::CurrentRouteTable;
use super::mirror_age::MirrorAge;
use super::reply::LocalReply;
use crate::conf::GatewaySettings;
use crate::errors::Code;

/// Keys are accepted while the configuration was last proved up to date within this fraction of the
/// key revocation time. The rest allows for differences between clocks.
const PROOF_AGE_REJECT_RATIO: f64 = 0.9;
/// Age of that proof, as a fraction of the key revocation time, from which on the instance reports
/// itself as not ready, so that callers move to other instances before keys are refused.
const PROOF_AGE_UNREADY_RATIO: f64 = 0.6;
/// Retry delay, in milliseconds, for a request refused because the configuration may be stale. By
/// then this instance has asked the store again, or the caller reaches another instance.
const STALE_CONFIG_RETRY_MS: u64 = 200;

/// The current configuration and how fresh it is known to be. Clones share state.
#[derive(Clone, Debug)]
pub struct Admission {
    pub table: CurrentRouteTable,
    /// Age of the mirror that the configuration comes from.
    age: Arc<MirrorAge>,
    /// Time within which a new configuration version is active on every instance.
    config_apply: Duration,
    /// How long a revoked key may still be accepted; unbounded if `None`.
    key_revocation: Option<Duration>,
}

/// Retry delay, in milliseconds, while no configuration is loaded. The first one arrives within a
/// second.
pub(super) const NO_CONFIG_RETRY_MS: u64 = 300;

fn stale_config_reply() -> LocalReply {
    LocalReply::not_run(Code::ConfigurationUnproved, STALE_CONFIG_RETRY_MS)
}

impl Admission {
    /// Creates the checks of `table` from the age of its mirror and the bounds in the settings.
    #[must_use]
    pub fn new(table: CurrentRouteTable, age: Arc<MirrorAge>, settings: &GatewaySettings) -> Self {
        Self {
            table,
            age,
            config_apply: Duration::from_millis(settings.config_apply_ms),
            key_revocation: settings.key_revocation_ms.map(Duration::from_millis),
        }
    }

    /// Whether the configuration was proved up to date within this fraction of the key revocation
    /// time.
    fn proved_within(&self, ratio: f64) -> bool {
        self.key_revocation
            .is_none_or(|bound| self.age.proof_age().is_some_and(|age| age <= bound.mul_f64(ratio)))
    }

    /// Whether callers should be sent to this instance: no keys are required, or they can be
    /// accepted for some time yet.
    #[must_use]
    pub fn accepts_callers(&self) -> bool {
        let keys_required =
            self.table.load().as_ref().is_some_and(|table| table.workspaces.is_some());
        !keys_required || self.proved_within(PROOF_AGE_UNREADY_RATIO)
    }

    /// Checks that the configuration was proved up to date recently enough to accept any key.
    ///
    /// # Errors
    /// A retryable reply if it is not.
    pub fn check_freshness(&self) -> Result<(), LocalReply> {
        if self.proved_within(PROOF_AGE_REJECT_RATIO) { Ok(()) } else { Err(stale_config_reply()) }
    }

    /// Checks that a caller admitted earlier may still be served.
    ///
    /// # Errors
    /// The final reply if its key is no longer valid, or if that cannot be determined.
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

    /// Returns a permanent rejection as it is, unless the route table is older than the time within
    /// which a new version is active everywhere: the missing route or key may just have been added,
    /// so the reply is retryable then.
    #[must_use]
    pub fn reject_or_retry(&self, rejection: LocalReply) -> LocalReply {
        if rejection.retry_after_ms.is_none() && self.age.age() > self.config_apply {
            return stale_config_reply();
        }
        rejection
    }

    /// The current route table and the route for a host and path.
    ///
    /// # Errors
    /// The reply if there is no table, or no such route in it.
    pub fn find_route(
        &self,
        host: &str,
        path: &str,
    ) -> Result<(Arc<RouteTable>, Arc<Route>), LocalReply> {
        let table = self.table(NO_CONFIG_RETRY_MS)?;
        let no_route = || LocalReply::rejected(StatusCode::NOT_FOUND, Code::NoRoute);
        let found = table.find_route(host, path).cloned();
        let route = found.ok_or_else(|| self.reject_or_retry(no_route()))?;
        Ok((table, route))
    }

    /// The current route table. `retry_after_ms` is the caller's retry delay if there is none.
    ///
    /// # Errors
    /// A retryable reply if no configuration has been loaded.
    pub fn table(&self, retry_after_ms: u64) -> Result<Arc<RouteTable>, LocalReply> {
        let table = self.table.load_full();
        table.ok_or_else(|| LocalReply::not_run(Code::NoConfiguration, retry_after_ms))
    }
}
