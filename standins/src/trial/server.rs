//! Model of a backend server: slots, a queue, and periods in which it is slow.

use std::collections::VecDeque;

const SLOW_FACTOR: f64 = 10.0;

/// Index of an attempt.
pub type AttemptId = usize;

/// An attempt that occupies a slot.
#[derive(Clone, Copy, Debug)]
pub struct RunningAttempt {
    pub attempt: AttemptId,
    pub ends_us: u64,
}

/// Model of a backend server; the time is passed in by the caller.
#[derive(Clone, Debug)]
pub struct Server {
    pub zone: usize,
    pub slots: usize,
    pub fails: bool,
    /// Periods in which the server is slow: start and end, sorted and disjoint.
    pub slow_periods: Vec<(u64, u64)>,
    pub running: Vec<RunningAttempt>,
    pub queue: VecDeque<(AttemptId, f64)>,
}

impl Server {
    /// Whether the server is slow at time `us`.
    #[must_use]
    pub fn is_slow_at(&self, us: u64) -> bool {
        self.slow_periods.iter().any(|(from, to)| (*from..*to).contains(&us))
    }

    /// End time of an attempt with service time `work_us` that starts now, including slow periods.
    fn end_time_us(&self, now_us: u64, work_us: f64) -> u64 {
        #[expect(clippy::cast_precision_loss, reason = "microseconds of simulated time")]
        let mut at = now_us as f64;
        let mut left = work_us;
        for (from, to) in &self.slow_periods {
            #[expect(clippy::cast_precision_loss, reason = "microseconds of simulated time")]
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
            reason = "microseconds of simulated time"
        )]
        let ends = (at + left) as u64;
        ends.max(now_us + 1)
    }

    /// Starts an attempt, or queues it if no slot is free. Returns it with its end time if started.
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

    /// Removes a completed or cancelled attempt. Returns the queued attempt that starts in its place.
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
