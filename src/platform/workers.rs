//! Client of the workers.

use std::collections::HashMap;

use async_trait::async_trait;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::wire::{WireAdvice, WireLists, WireReason};
use crate::entry::{PollError, PollRequest, WorkerCalls};
use crate::prelude::*;
use crate::scheduler::{AdviceRequest, StartCommand, StartResponse, StopCommand, WorkerReport};
use crate::web::{Link, LinkError, LinkRequest};

/// Time for an order: a worker answers within a few ms, and a lost packet costs about 200 ms.
const ORDER_TIMEOUT: Millis = Millis(500);

/// Time on top of a read's own wait.
const HOLD_MARGIN: Millis = Millis(600);

/// Time on top of an advice call's own, with up to 31 calls before it in the queue.
const ADVICE_MARGIN: Millis = Millis(3000);

/// Calls workers, each over connections of its own, and the advice service.
pub struct WorkerClient {
    links: Mutex<HashMap<String, Arc<Link>>>,
    advice: Option<Link>,
}

impl WorkerClient {
    /// Creates a client without opening a connection.
    pub fn new(advice: Option<String>) -> Self {
        Self {
            links: Mutex::default(),
            advice: advice.map(Link::new),
        }
    }

    fn link(&self, address: &str) -> Arc<Link> {
        let mut links = self.links.lock();
        if let Some(link) = links.get(address) {
            return link.clone();
        }
        let link = Arc::new(Link::new(address.to_string()));
        links.insert(address.to_string(), link.clone());
        link
    }

    async fn call(
        &self,
        worker: &WorkerId,
        address: &str,
        path: &str,
        body: &Value,
        timeout: Millis,
    ) -> Result<(StatusCode, bytes::Bytes), LinkError> {
        let req = LinkRequest {
            method: Method::POST,
            path,
            headers: &[
                ("content-type", "application/json".to_string()),
                ("expect-instance", worker.to_string()),
            ],
            body: body.to_string().into_bytes(),
            timeout,
        };
        let (status, _, body) = self.link(address).call(req).await?;
        Ok((status, body))
    }

    async fn order(&self, order: &StopCommand, path: &str, mut body: Value) -> bool {
        body["task"] = json!(order.task.to_string());
        body["runId"] = json!(order.run);
        body["fence"] = json!(order.fence);
        let called = self
            .call(&order.worker, &order.address, path, &body, ORDER_TIMEOUT)
            .await;
        match called {
            Ok((StatusCode::OK, _)) => true,
            Ok((status, _)) => {
                tracing::info!(task = %order.task, worker = %order.worker, path, %status, "order rejected");
                false
            }
            Err(err) => {
                tracing::info!(task = %order.task, worker = %order.worker, path, %err, "order unanswered");
                false
            }
        }
    }
}

#[async_trait]
impl WorkerCalls for WorkerClient {
    async fn poll(&self, worker: &WorkerId, call: &PollRequest) -> Result<WorkerReport, PollError> {
        let mut body = json!({ "fence": call.fence, "lastSeen": call.last_acknowledged });
        if let Some(deadline) = call.deadline {
            body["deadlineMs"] = json!(deadline.0);
        }
        if call.wait > Millis::ZERO {
            body["waitMs"] = json!(call.wait.0);
        }
        let broken = |reason: String| {
            PollError::Failed(CallError::Broken {
                addr: call.address.clone(),
                reason,
            })
        };
        let timeout = call.wait + HOLD_MARGIN;
        let (status, body) = self
            .call(worker, &call.address, "/hold", &body, timeout)
            .await
            .map_err(|err| broken(err.to_string()))?;
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Err(PollError::OtherIncarnation);
        }
        if status != StatusCode::OK {
            return Err(PollError::Failed(CallError::Status {
                addr: call.address.clone(),
                status: status.as_u16(),
                message: String::from_utf8_lossy(&body).into_owned(),
            }));
        }
        let lists: WireLists =
            serde_json::from_slice(&body).map_err(|err| broken(err.to_string()))?;
        lists.into_report().map_err(broken)
    }

    async fn start(&self, order: &StartCommand) -> StartResponse {
        let mut body = json!({
            "task": order.task.to_string(),
            "runId": order.run,
            "spec": order.payload,
            "deadlineMs": order.deadline.0,
            "fence": order.fence,
        });
        if !order.checkpoint.is_empty() {
            body["checkpointId"] = json!(order.checkpoint);
        }
        if !order.ticket.is_empty() {
            body["ticket"] = json!(order.ticket);
        }
        let called = self
            .call(
                &order.worker,
                &order.address,
                "/run-start",
                &body,
                ORDER_TIMEOUT,
            )
            .await;
        match called {
            Ok((StatusCode::OK, _)) => StartResponse::Started,
            Ok((StatusCode::CONFLICT, body)) => {
                let wire: Option<WireReason> = serde_json::from_slice(&body).ok();
                match wire.as_ref().map(|wire| wire.reason.as_str()) {
                    Some("fence") => StartResponse::Fenced,
                    Some("old") => StartResponse::AlreadyEnded,
                    Some("late") => StartResponse::Late,
                    Some("room") => StartResponse::NoRoom,
                    Some("ticket") => StartResponse::NoTicket,
                    _ => StartResponse::Refused,
                }
            }
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => StartResponse::OtherIncarnation,
            Ok((status, body)) => {
                let body = String::from_utf8_lossy(&body);
                tracing::info!(task = %order.task, worker = %order.worker, %status, %body, "start refused");
                StartResponse::Refused
            }
            Err(err) => {
                tracing::info!(task = %order.task, worker = %order.worker, %err, "start unanswered");
                StartResponse::Unknown
            }
        }
    }

    async fn stop(&self, order: &StopCommand) -> bool {
        self.order(order, "/run-stop", json!({})).await
    }

    async fn advise(&self, order: &AdviceRequest) -> Option<Vec<(WorkerId, String)>> {
        let Some(link) = &self.advice else {
            tracing::error!(job = %order.job, "the queue needs advice, and the settings name no service");
            return None;
        };
        let step = format!("{}.{}.{}", order.job, order.occurrence, order.step);
        let names: Vec<&str> = order.workers.iter().map(WorkerId::as_str).collect();
        let req = LinkRequest {
            method: Method::POST,
            path: "/advise",
            headers: &[("content-type", "application/json".to_string())],
            body: json!({ "step": step, "workers": names })
                .to_string()
                .into_bytes(),
            timeout: order.expected + ADVICE_MARGIN,
        };
        let (status, _, body) = match link.call(req).await {
            Ok(answer) => answer,
            Err(err) => {
                tracing::info!(step, %err, "no advice");
                return None;
            }
        };
        if status != StatusCode::OK {
            tracing::info!(step, %status, "no advice");
            return None;
        }
        match serde_json::from_slice::<WireAdvice>(&body) {
            Ok(advice) => Some(advice.allowed),
            Err(err) => {
                tracing::error!(step, %err, "advice cannot be read");
                None
            }
        }
    }

    async fn pace(&self, order: &StopCommand, percent: u32) -> bool {
        self.order(order, "/pace", json!({ "percent": percent }))
            .await
    }
}
