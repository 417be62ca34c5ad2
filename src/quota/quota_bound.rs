//! How many tokens a workspace may have.

use crate::workspace::Workspace;

/// Part of what the operators tolerate beyond a quota that is used in calm; the rest is for homes that change,
/// each of which may leave tokens behind and begin with some.
const STEADY_FRACTION: f64 = 0.3;
/// Part of it that homes have when they start: what they had before is forgotten.
const STARTUP_FRACTION: f64 = 0.15;

/// What the operators tolerate beyond a quota, over any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    pub window_s: f64,
    /// As a factor of what the quota allows in a window.
    pub overage: f64,
    /// In requests.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Requests beyond the quota in a window.
    fn excess_max(&self, workspace: &Workspace) -> f64 {
        let in_window = workspace.rate_per_s.mul_add(self.window_s, workspace.burst);
        in_window.mul_add(self.overage, self.slack)
    }

    /// Tokens a second, over all instances: any window may hold the burst, so a workspace that sends
    /// without a pause has it in each of them.
    #[must_use]
    pub fn tokens_per_s(&self, workspace: &Workspace) -> f64 {
        workspace.rate_per_s + workspace.burst / self.window_s
    }

    /// Most tokens of a workspace at a time, over all instances; one at least, or none would ever be served.
    #[must_use]
    pub fn tokens_max(&self, workspace: &Workspace) -> f64 {
        (self.excess_max(workspace) * STEADY_FRACTION).max(1.0)
    }

    /// Tokens that its homes have when they start, all together.
    #[must_use]
    pub fn initial_tokens(&self, workspace: &Workspace) -> f64 {
        self.excess_max(workspace) * STARTUP_FRACTION
    }
}
