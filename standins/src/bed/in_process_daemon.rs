//! An instance on its own runtime, so that it can be killed with all its tasks.

use std::sync::Arc;

use sorrelwick::app::Daemon;
use sorrelwick::board::Blackboard;
use sorrelwick::conf::Settings;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

const WORKER_THREADS: usize = 2;

/// A running instance. Drop kills it: all its tasks and connections end at once.
#[derive(Debug)]
pub struct InProcessDaemon {
    /// `None` only during drop.
    runtime: Option<Runtime>,
    daemon: Option<Daemon>,
    board: Arc<Blackboard>,
}

impl Drop for InProcessDaemon {
    fn drop(&mut self) {
        self.daemon = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl InProcessDaemon {
    /// Starts an instance.
    ///
    /// # Panics
    /// If it does not start.
    pub async fn spawn(settings: Settings) -> Self {
        let runtime =
            Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let spawned = runtime.spawn(Daemon::spawn(settings)).await.expect("no panic");
        let daemon = spawned.expect("the daemon starts");
        let board = Arc::clone(daemon.board());
        Self { runtime: Some(runtime), daemon: Some(daemon), board }
    }

    /// The blackboard of the instance.
    #[must_use]
    pub const fn board(&self) -> &Arc<Blackboard> {
        &self.board
    }

    /// Stops the instance gracefully.
    pub async fn stop(mut self) {
        if let (Some(daemon), Some(runtime)) = (self.daemon.take(), &self.runtime) {
            let _ = runtime.spawn(daemon.stop()).await;
        }
    }
}
