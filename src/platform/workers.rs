//! Client of the workers and of the advice service.

use std::collections::HashMap;

use async_trait::async_trait;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use serde_json::json;

use super::config::round_to_u64;
use super::wire::{WireAdvice, WireCommand, WireLists, WirePoll, WireStart, WireStartAnswer};
use crate::entry::{PollError, PollRequest, WorkerCalls};
use crate::prelude::*;
use crate::scheduler::{
    AdviceRequest, StartAnswer, StartCommand, StartResponse, StopCommand, WorkerReport,
};
use crate::telemetry::Activity;
use crate::web::{Link, LinkError, LinkRequest};

/// Timeout of a command: a worker responds within a few ms, and a lost packet costs about 200 ms.
const COMMAND_TIMEOUT: Millis = Millis(500);

/// Time that is added to the wait of a poll to get its timeout.
const POLL_MARGIN: Millis = Millis(600);

/// Time that is added to the expected latency of an advice call to get its timeout, because up to
/// 31 calls may be queued before it.
const ADVICE_MARGIN: Millis = Millis(3000);

/// Idle connections to one worker, beside those of calls in progress. A leader that loses power
/// leaves its connections open at the worker, which takes 64; with eight, a dozen lost leaders left
/// none to the next.
const IDLE_WORKER_CONNECTIONS: usize = 2;

/// Client that calls each worker, and the advice service, over separate connections.
pub struct WorkerClient {
    links: Mutex<HashMap<String, Arc<Link>>>,
    advice: Option<Link>,
}

impl WorkerClient {
    /// Creates a client without opening a connection.
    pub fn new(advice: Option<String>) -> Self {
        Self {
            links: Mutex::default(),
            advice: advice.map(|address| Link::new(address, Activity::WorkerLink)),
        }
    }

    fn link(&self, address: &str) -> Arc<Link> {
        let mut links = self.links.lock();
        if let Some(link) = links.get(address) {
            return link.clone();
        }
        let link = Link::new(address.to_string(), Activity::WorkerLink);
        let link = Arc::new(link.keep_idle(IDLE_WORKER_CONNECTIONS));
        links.insert(address.to_string(), link.clone());
        link
    }

    async fn call(
        &self,
        worker: &WorkerId,
        address: &str,
        path: &str,
        body: &impl Serialize,
        timeout: Millis,
    ) -> Result<(StatusCode, bytes::Bytes), LinkError> {
        let body = serde_json::to_vec(body).map_err(|err| LinkError::NotSent(err.to_string()))?;
        let req = LinkRequest {
            method: Method::POST,
            path,
            headers: &[
                ("content-type", "application/json"),
                ("expect-instance", worker.as_str()),
            ],
            body,
            timeout,
        };
        let (status, _, body) = self.link(address).call(req).await?;
        Ok((status, body))
    }

    async fn send_command(&self, command: &StopCommand, path: &str, percent: Option<u32>) -> bool {
        let body = WireCommand {
            task: command.task.to_string(),
            run_id: command.run,
            fence: command.fence,
            percent,
        };
        let called = self
            .call(
                &command.worker,
                &command.address,
                path,
                &body,
                COMMAND_TIMEOUT,
            )
            .await;
        match called {
            Ok((StatusCode::OK, _)) => true,
            Ok((status, _)) => {
                tracing::info!(task = %command.task, worker = %command.worker, path, %status, "command rejected");
                false
            }
            Err(err) => {
                tracing::info!(task = %command.task, worker = %command.worker, path, %err, "command unanswered");
                false
            }
        }
    }
}

#[async_trait]
impl WorkerCalls for WorkerClient {
    async fn poll(
        &self,
        worker: &WorkerId,
        request: &PollRequest,
    ) -> Result<WorkerReport, PollError> {
        let body = WirePoll {
            fence: request.fence,
            last_seen: request.last_acknowledged,
            deadline_ms: request.deadline.map(|deadline| deadline.0),
            wait_ms: request.wait.0,
        };
        let broken_call = |reason: String| {
            PollError::Failed(CallError::Broken {
                addr: request.address.clone(),
                reason,
            })
        };
        let timeout = request.wait + POLL_MARGIN;
        let (status, body) = self
            .call(worker, &request.address, "/hold", &body, timeout)
            .await
            .map_err(|err| broken_call(err.to_string()))?;
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Err(PollError::OtherIncarnation);
        }
        if status != StatusCode::OK {
            return Err(PollError::Failed(CallError::Status {
                addr: request.address.clone(),
                status: status.as_u16(),
                message: String::from_utf8_lossy(&body).into_owned(),
            }));
        }
        let lists: WireLists =
            serde_json::from_slice(&body).map_err(|err| broken_call(err.to_string()))?;
        lists.into_report().map_err(broken_call)
    }

    async fn start(&self, command: &StartCommand) -> StartAnswer {
        let body = WireStart {
            task: command.task.to_string(),
            run_id: command.run,
            spec: &command.payload,
            deadline_ms: command.deadline.0,
            fence: command.fence,
            checkpoint_id: &command.checkpoint,
            ticket: &command.ticket,
        };
        let called = self
            .call(
                &command.worker,
                &command.address,
                "/run-start",
                &body,
                COMMAND_TIMEOUT,
            )
            .await;
        let (status, body) = match called {
            Ok(answered) => answered,
            Err(err) => {
                tracing::info!(task = %command.task, worker = %command.worker, %err, "start unanswered");
                return StartAnswer::unknown();
            }
        };
        let wire = serde_json::from_slice(&body).unwrap_or_else(|err| {
            if !body.is_empty() {
                tracing::info!(task = %command.task, worker = %command.worker, %status, %err, "answer to a start is unreadable");
            }
            WireStartAnswer::default()
        });
        let response = match (status, wire.reason.as_str()) {
            (StatusCode::OK, _) => StartResponse::Started,
            (StatusCode::CONFLICT, "fence") => StartResponse::Fenced,
            (StatusCode::CONFLICT, "old") => StartResponse::AlreadyEnded,
            (StatusCode::CONFLICT, "late") => StartResponse::Late,
            (StatusCode::CONFLICT, "room") => StartResponse::NoRoom,
            (StatusCode::CONFLICT, "ticket") => StartResponse::NoTicket,
            (StatusCode::CONFLICT, _) => StartResponse::Refused,
            (StatusCode::MISDIRECTED_REQUEST, _) => StartResponse::OtherIncarnation,
            _ => {
                let body = String::from_utf8_lossy(&body);
                tracing::info!(task = %command.task, worker = %command.worker, %status, %body, "start refused");
                StartResponse::Refused
            }
        };
        let clock = wire.clock_ms.map(|clock| Millis(round_to_u64(clock)));
        StartAnswer { response, clock }
    }

    async fn stop(&self, command: &StopCommand) -> bool {
        self.send_command(command, "/run-stop", None).await
    }

    async fn advise(&self, advice_request: &AdviceRequest) -> Option<Vec<(WorkerId, String)>> {
        let Some(link) = &self.advice else {
            tracing::error!(job = %advice_request.job, "queue needs advice, but the settings name no advice service; its steps cannot start");
            return None;
        };
        let step = format!(
            "{}.{}.{}",
            advice_request.job, advice_request.occurrence, advice_request.step
        );
        let names: Vec<&str> = advice_request
            .workers
            .iter()
            .map(WorkerId::as_str)
            .collect();
        let req = LinkRequest {
            method: Method::POST,
            path: "/advise",
            headers: &[("content-type", "application/json")],
            body: json!({ "step": step, "workers": names })
                .to_string()
                .into_bytes(),
            timeout: advice_request.expected + ADVICE_MARGIN,
        };
        let (status, _, body) = match link.call(req).await {
            Ok(response) => response,
            Err(err) => {
                tracing::info!(step, %err, "advice service does not answer");
                return None;
            }
        };
        if status != StatusCode::OK {
            tracing::info!(step, %status, "advice service refuses the request");
            return None;
        }
        match serde_json::from_slice::<WireAdvice>(&body) {
            Ok(advice) => Some(advice.allowed),
            Err(err) => {
                tracing::error!(step, %err, "response of the advice service is invalid");
                None
            }
        }
    }

    fn disconnect(&self) {
        self.links.lock().clear();
    }

    async fn pace(&self, command: &StopCommand, percent: u32) -> bool {
        self.send_command(command, "/pace", Some(percent)).await
    }
}
