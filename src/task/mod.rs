//! Tasks that end with their owner.

mod task_guard;

pub use task_guard::TaskGuard;
