//! Serves the worker agent stand-in over HTTP and in process.

use async_trait::async_trait;
use http::StatusCode;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::{Checkpoints, Worker};
use crate::prelude::*;
use crate::provider::AgentCommand;
use crate::schema::worker::AgentReply;
use crate::web::{WebReq, WebRes, WebService, decode, packed, read_body, text};

/// Largest command.
const MAX_COMMAND_BYTES: usize = 1 << 20;

/// A worker agent on the real clock.
pub struct WorkerServer {
    started: Instant,
    worker: Mutex<Worker>,
}

impl WorkerServer {
    /// Creates the agent of an idle worker whose clock counts from `started`.
    pub fn new(
        vm: VmId,
        capacity: Resources,
        checkpoints: Checkpoints,
        started: Instant,
    ) -> Arc<Self> {
        Arc::new(Self {
            started,
            worker: Mutex::new(Worker::new(vm, capacity, checkpoints)),
        })
    }

    /// Carries out a command now.
    pub fn command(&self, command: AgentCommand) -> AgentReply {
        self.worker
            .lock()
            .command(command, self.started.elapsed().into())
    }

    /// Looks at the worker after moving it on to the present.
    pub fn inspect<T>(&self, look: impl FnOnce(&mut Worker) -> T) -> T {
        let mut worker = self.worker.lock();
        worker.advance(self.started.elapsed().into());
        look(&mut worker)
    }
}

#[async_trait(?Send)]
impl WebService for WorkerServer {
    async fn call(&self, req: WebReq) -> WebRes {
        if self.worker.lock().faults.is_silent() {
            std::future::pending::<()>().await;
        }
        match read_body(req, MAX_COMMAND_BYTES)
            .await
            .map_err(|err| err.to_string())
            .and_then(|buf| decode(&buf))
        {
            Ok(command) => packed(&self.command(command)),
            Err(err) => text(StatusCode::BAD_REQUEST, err),
        }
    }
}
