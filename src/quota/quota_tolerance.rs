//! Token rate and capacity of a workspace, from its quota and the tolerated excess.

use crate::workspace::Workspace;

/// Fraction of the tolerated excess that the tokens of a workspace may reach in steady state. The
/// rest covers changes of the homes: an old home may leave tokens behind, and a new one starts with
/// some.
const STEADY_FRACTION: f64 = 0.3;
/// Fraction of the tolerated excess that homes start with, all together: a home that restarts has
/// forgotten what it spent before.
const STARTUP_FRACTION: f64 = 0.15;

/// Excess over a quota that the operators tolerate in any window of `window_s`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Tolerated excess as a fraction of what the quota allows in a window.
    pub overage_fraction: f64,
    /// Further tolerated excess in requests per window.
    pub slack_requests: f64,
}

impl QuotaTolerance {
    /// Requests tolerated beyond the quota in a window.
    fn excess_max(&self, workspace: &Workspace) -> f64 {
        let in_window = workspace.rate_per_s.mul_add(self.window_s, workspace.burst);
        in_window.mul_add(self.overage_fraction, self.slack_requests)
    }

    /// Tokens added per second, over all instances. Any window may contain one burst, so a
    /// workspace that sends without a pause gets the burst in each window.
    #[must_use]
    pub fn tokens_per_s(&self, workspace: &Workspace) -> f64 {
        workspace.rate_per_s + workspace.burst / self.window_s
    }

    /// Maximum tokens of a workspace over all instances. At least 1, or no request would ever be
    /// served.
    #[must_use]
    pub fn tokens_max(&self, workspace: &Workspace) -> f64 {
        (self.excess_max(workspace) * STEADY_FRACTION).max(1.0)
    }

    /// Tokens that the homes of a workspace start with, all together.
    #[must_use]
    pub fn initial_tokens(&self, workspace: &Workspace) -> f64 {
        self.excess_max(workspace) * STARTUP_FRACTION
    }
}
