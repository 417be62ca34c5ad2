//! Counters of events that are too frequent for the log.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::route::Outcome;

macro_rules! counters {
    ($($name:ident = $text:literal, $help:literal;)*) => {
        /// A counter of the metrics page.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $(#[doc = $help] $name,)*
        }

        impl Counter {
            /// All counters, with their names and help texts on the metrics page.
            pub const ALL: &'static [(Self, &'static str, &'static str)] =
                &[$((Self::$name, $text, $help),)*];
        }
    };
}

counters! {
    Requests = "requests", "Requests that callers sent.";
    Ran = "outcome_ran", "Requests answered by a backend server.";
    NotRun = "outcome_not_run", "Requests answered as not run.";
    Unknown = "outcome_unknown", "Requests whose outcome is not known.";
    StopRefusals = "stop_refusals", "Requests refused because the instance stops before they can end.";
    Attempts = "attempts", "Attempts on backend servers.";
    Retries = "retries", "Attempts after a first one that failed.";
    RetryLoanQuestions = "retry_loan_questions", "Questions to other instances for retries.";
    RetriesBorrowed = "retries_borrowed", "Retries that other instances lent.";
    RetriesLent = "retries_lent", "Retries lent to other instances.";
    Hedges = "hedges", "Second attempts beside a slow first one.";
    RetriesDenied = "retries_denied", "Retries that the retry budget did not allow.";
    HedgesDenied = "hedges_denied", "Hedges that the retry budget did not allow.";
    Queued = "queued", "Requests that waited for a slot.";
    Spilled = "spilled", "Requests passed to a co-home that had slots free.";
    Passed = "passed", "Requests passed to another instance, answered.";
    PeerLost = "peer_lost", "Passed requests whose instance was lost.";
    HomeUnreachable = "home_unreachable", "Homes that could not be reached for a request.";
    OwnerUnreachable = "owner_unreachable", "Keyed requests whose owner could not be reached.";
    Replayed = "replayed", "Repeats answered from the record.";
    Followed = "followed", "Repeats that waited for the first request to end.";
    Probes = "probes", "Calls made only to measure.";
    StoreCalls = "store_calls", "Calls to the platform's store.";
    StoreFailures = "store_failures", "Calls to the platform's store without answer.";
    ConfigMerged = "config_merged", "Changes of configuration that came in force.";
    PeersRefused = "peers_refused", "Connections that did not prove to be peers.";
    OperatorsRefused = "operators_refused", "Operator calls without the right token.";
    OverQuota = "over_quota", "Requests refused, since their workspace sent more than its quota.";
    Denied = "denied", "Requests not sent on, since they may crash backend servers.";
    MembersLost = "members_lost", "Members declared dead.";
}

/// Values of all counters since the start.
#[derive(Debug)]
pub struct Counters {
    values: Vec<AtomicU64>,
}

impl Default for Counters {
    fn default() -> Self {
        Self { values: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect() }
    }
}

impl Counters {
    /// Adds one.
    pub fn add(&self, counter: Counter) {
        self.add_many(counter, 1);
    }

    /// Adds `count`.
    pub fn add_many(&self, counter: Counter, count: u64) {
        self.values[counter as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// The value since the start.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}

impl Counter {
    /// The counter of final responses with this outcome.
    #[must_use]
    pub const fn of_outcome(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Ran => Self::Ran,
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
        }
    }
}
