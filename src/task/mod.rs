//! Background tasks that are aborted when their owner is dropped.

mod task_guard;

pub use task_guard::TaskGuard;
