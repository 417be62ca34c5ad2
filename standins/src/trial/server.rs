//! A modelled backend server: slots, a queue, and times when it is slow.

use std::collections::VecDeque;

const SLOW_FACTOR: f64 = 10.0;

/// One attempt, by its number.
pub type AttemptId = usize;

/// Work that a slot does.
#[derive(Clone, Copy, Debug)]
pub struct RunningAttempt {
    pub attempt: AttemptId,
    pub ends_us: u64,
}

/// Slots and queue; time is given from outside.
#[derive(Clone, Debug)]
pub struct Server {
    pub zone: usize,
    pub slots: usize,
    pub fails: bool,
    /// When it is slow: sorted, apart from each other.
    pub slow_periods: Vec<(u64, u64)>,
    pub running: Vec<RunningAttempt>,
    pub queue: VecDeque<(AttemptId, f64)>,
}

impl Server {
    /// Whether it is slow at that time.
    #[must_use]
    pub fn is_slow_at(&self, us: u64) -> bool {
        self.slow_periods.iter().any(|(from, to)| (*from..*to).contains(&us))
    }

    /// When work of `work_us` that begins now is done, slow times taken into account.
    fn end_time_us(&self, now_us: u64, work_us: f64) -> u64 {
        #[expect(clippy::cast_precision_loss, reason = "microseconds of a trial")]
        let mut at = now_us as f64;
        let mut left = work_us;
        for (from, to) in &self.slow_periods {
            #[expect(clippy::cast_precision_loss, reason = "microseconds of a trial")]
            let (from, to) = (*from as f64, *to as f64);
            if to <= at {
                continue;
            }
            let before = (from - at).max(0.0);
            if left <= before {
                break;
            }
            left -= before;
            at = at.max(from);
            let within = (to - at) / SLOW_FACTOR;
            if left <= within {
                at += left * SLOW_FACTOR;
                left = 0.0;
                break;
            }
            left -= within;
            at = to;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "microseconds of a trial"
        )]
        let ends = (at + left) as u64;
        ends.max(now_us + 1)
    }

    /// Takes an attempt in; tells when it ends if it begins at once.
    pub fn start_or_queue(
        &mut self,
        attempt: AttemptId,
        work_us: f64,
        now_us: u64,
    ) -> Option<RunningAttempt> {
        if self.running.len() >= self.slots {
            self.queue.push_back((attempt, work_us));
            return None;
        }
        Some(self.begin(attempt, work_us, now_us))
    }

    fn begin(&mut self, attempt: AttemptId, work_us: f64, now_us: u64) -> RunningAttempt {
        let working = RunningAttempt { attempt, ends_us: self.end_time_us(now_us, work_us) };
        self.running.push(working);
        working
    }

    /// Takes an attempt out, done or cancelled; tells which one begins in its place.
    pub fn remove(&mut self, attempt: AttemptId, now_us: u64) -> Option<RunningAttempt> {
        self.queue.retain(|(queued, _)| *queued != attempt);
        let before = self.running.len();
        self.running.retain(|working| working.attempt != attempt);
        if self.running.len() == before {
            return None;
        }
        let (next, work_us) = self.queue.pop_front()?;
        Some(self.begin(next, work_us, now_us))
    }
}
