//! A task handle that aborts the task on drop.

use tokio::task::JoinHandle;

/// Aborts its task when dropped, so that a listener without owner stops accepting connections.
#[derive(Debug)]
pub struct TaskGuard(JoinHandle<()>);

impl TaskGuard {
    /// Spawns `work` as a task.
    pub fn spawn(work: impl Future<Output = ()> + Send + 'static) -> Self {
        Self(tokio::spawn(work))
    }

    /// Aborts the task and waits until it has ended.
    pub async fn end(mut self) {
        self.0.abort();
        let _ = (&mut self.0).await;
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
