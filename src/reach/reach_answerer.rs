//! Answers other instances that ask whether this one reaches the backend servers.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::Mutex;
use tokio::task::JoinSet;

use super::CheckResult;
use super::ServerChecker;
use super::ServerReach;
use crate::clock::now_us;

/// A question is answered without a check if a server responded within this time.
const FRESH_US: u64 = 50_000;
/// A check answers further questions for this long, so that many questions cost few checks.
const SHARED_CHECK_US: u64 = 100_000;

/// Servers checked to answer a question.
const SERVERS_CHECKED: usize = 3;

/// The last check that was made for other instances, by service.
type SharedChecks = HashMap<Arc<str>, (u64, CheckResult)>;

/// Answers whether servers are reached. Clones share their state.
#[derive(Clone, Debug)]
pub struct ReachAnswerer<C> {
    reach: Arc<ServerReach>,
    checker: C,
    shared_checks: Arc<Mutex<SharedChecks>>,
}

impl<C: ServerChecker> ReachAnswerer<C> {
    /// Answers from `reach`, or by checks of `checker`.
    #[must_use]
    pub fn new(reach: Arc<ServerReach>, checker: C) -> Self {
        Self { reach, checker, shared_checks: Arc::default() }
    }

    /// For each service, whether this instance reaches its backend servers.
    pub async fn answer(&self, services: &[String]) -> Vec<bool> {
        let known = self.checker.services();
        let mut answers = JoinSet::new();
        for service in &known {
            if let Some(index) = services.iter().position(|asked| **asked == **service) {
                let (answerer, service) = (self.clone(), Arc::clone(service));
                answers.spawn(async move { (index, answerer.reaches(service).await) });
            }
        }
        let mut reached = vec![false; services.len()];
        while let Some(Ok((index, answer))) = answers.join_next().await {
            reached[index] = answer;
        }
        reached
    }

    async fn reaches(self, service: Arc<str>) -> bool {
        if self.reach.is_lost(&service) {
            return false;
        }
        if self.reach.responded_within(&service, FRESH_US) {
            return true;
        }
        let mut shared = self.shared_checks.lock().await;
        let result = match shared.get(&service) {
            Some((at_us, result)) if now_us().saturating_sub(*at_us) < SHARED_CHECK_US => *result,
            _ => self.checker.check(&service, SERVERS_CHECKED).await,
        };
        shared.insert(service, (now_us(), result));
        result.reached > 0 && !result.is_lost()
    }
}
