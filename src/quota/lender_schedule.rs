//! When an instance asks each lender for tokens of a workspace.

use std::net::SocketAddr;

use smallvec::SmallVec;

/// Interval between two questions to a lender that has tokens to spare. Shorter than the time in
/// which a holder's bucket fills up, so that no tokens are lost there.
const INTERVAL_MIN_US: u64 = 50_000;
/// Maximum interval between two questions to a lender that has had none.
const INTERVAL_MAX_US: u64 = 400_000;

#[derive(Clone, Copy, Debug)]
struct LenderPace {
    lender: SocketAddr,
    asked_us: u64,
    interval_us: u64,
}

impl LenderPace {
    const fn due_us(&self) -> u64 {
        self.asked_us + self.interval_us
    }
}

/// The pace of questions to each lender; it depends on what the lender gave, not on the number of
/// requests that lack a token.
#[derive(Clone, Debug, Default)]
pub(super) struct LenderSchedule {
    paces: SmallVec<[LenderPace; 4]>,
}

impl LenderSchedule {
    /// The lenders that may be asked now, those first that have not been asked for the longest
    /// time. Others than `lenders` are forgotten.
    pub(super) fn due(&mut self, lenders: &[SocketAddr], now_us: u64) -> SmallVec<[SocketAddr; 4]> {
        self.paces.retain(|pace| lenders.contains(&pace.lender));
        let asked_us = |lender| self.pace(lender).map_or(0, |pace| pace.asked_us);
        let is_due = |lender| self.pace(lender).is_none_or(|pace| pace.due_us() <= now_us);
        let due = lenders.iter().copied().filter(|lender| is_due(*lender));
        let mut due: SmallVec<[SocketAddr; 4]> = due.collect();
        due.sort_by_key(|lender| asked_us(*lender));
        due
    }

    /// Records that a lender is asked.
    pub(super) fn record_question(&mut self, lender: SocketAddr, now_us: u64) {
        match self.paces.iter_mut().find(|pace| pace.lender == lender) {
            Some(pace) => pace.asked_us = now_us,
            None => self.paces.push(LenderPace {
                lender,
                asked_us: now_us,
                interval_us: INTERVAL_MIN_US,
            }),
        }
    }

    /// Records what a lender gave; 0 if it did not answer.
    pub(super) fn record_answer(&mut self, lender: SocketAddr, tokens: f64) {
        let Some(pace) = self.paces.iter_mut().find(|pace| pace.lender == lender) else {
            return;
        };
        pace.interval_us = if tokens > 0.0 {
            INTERVAL_MIN_US
        } else {
            (pace.interval_us * 2).min(INTERVAL_MAX_US)
        };
    }

    fn pace(&self, lender: SocketAddr) -> Option<&LenderPace> {
        self.paces.iter().find(|pace| pace.lender == lender)
    }
}
