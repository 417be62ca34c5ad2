//! A task that is ended when its handle is dropped.

use tokio::task::JoinHandle;

/// Ends its task when dropped: a listener whose owner is gone must not go on accepting.
#[derive(Debug)]
pub struct TaskGuard(JoinHandle<()>);

impl TaskGuard {
    /// Starts a task.
    pub fn spawn(work: impl Future<Output = ()> + Send + 'static) -> Self {
        Self(tokio::spawn(work))
    }

    /// Ends the task and returns when it has ended.
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
