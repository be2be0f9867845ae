//! A daemon on a runtime of its own, which can be killed like a process.

use std::io;
use std::net::SocketAddr;

use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use crate::daemon::Daemon;
use crate::prelude::*;
use crate::schema::settings::Settings;

/// Threads of the runtime of one daemon.
const RUNTIME_THREADS: usize = 2;

/// A running daemon with its settings.
pub struct DevInstance {
    /// Settings that it was started with.
    pub settings: Settings,
    daemon: Arc<Daemon>,
    runtime: Option<Runtime>,
}

impl DevInstance {
    /// Starts a daemon.
    pub async fn start(settings: Settings) -> Result<Self, DaemonError> {
        let runtime = new_runtime().map_err(|err| DaemonError::Listen {
            addr: settings.listen.callers,
            reason: err.to_string(),
        })?;
        let cfg = settings.clone();
        let started: JoinHandle<_> = runtime.spawn(async move { Daemon::start(&cfg).await });
        let daemon = started.await.map_err(|err| DaemonError::Listen {
            addr: settings.listen.callers,
            reason: err.to_string(),
        })??;
        Ok(Self {
            settings,
            daemon: Arc::new(daemon),
            runtime: Some(runtime),
        })
    }

    /// Returns the daemon.
    pub fn daemon(&self) -> &Daemon {
        &self.daemon
    }

    /// Returns the address for callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.daemon.callers_addr()
    }

    /// Stops gracefully, as after SIGTERM.
    pub async fn shutdown(mut self) {
        let daemon = self.daemon.clone();
        if let Some(runtime) = self.runtime.take() {
            let _ = runtime.spawn(async move { daemon.shutdown().await }).await;
            runtime.shutdown_background();
        }
    }

    /// Ends all tasks and connections at once, as after SIGKILL.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for DevInstance {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            self.daemon.kill();
            runtime.shutdown_background();
        }
    }
}

fn new_runtime() -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .thread_name("entry")
        .enable_all()
        .build()
}
