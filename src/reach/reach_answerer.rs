//! Answers other instances that ask whether this one reaches the backend servers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::task::JoinSet;

use super::CheckResult;
use super::ServerChecker;
use super::ServerReach;
use crate::clock::now_us;

/// A question is answered without a check if a server responds within this time after it. A
/// response from before it proves nothing: all servers may have failed since.
const RESPONSE_WAIT: Duration = Duration::from_millis(30);

/// Servers checked to answer a question.
const SERVERS_CHECKED: usize = 3;

/// The start and result of the last check that was made for other instances, by service.
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
        let asked_us = now_us();
        tokio::time::sleep(RESPONSE_WAIT).await;
        if self.reach.responded_since(&service, asked_us) {
            return true;
        }
        let mut shared = self.shared_checks.lock().await;
        // A check that began after the question answers it too, so many questions cost few checks.
        if let Some((began_us, result)) = shared.get(&service)
            && *began_us > asked_us
        {
            return result.is_reached();
        }
        let began_us = now_us();
        let result = self.checker.check(&service, SERVERS_CHECKED).await;
        shared.insert(service, (began_us, result));
        result.is_reached()
    }
}
