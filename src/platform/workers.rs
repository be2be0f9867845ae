//! Client of the workers.

use std::collections::HashMap;

use async_trait::async_trait;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::wire::{WireLists, WireReason};
use crate::entry::{HoldCall, HoldError, WorkerCalls};
use crate::prelude::*;
use crate::scheduler::{Report, StartAnswer, StartOrder, StopOrder};
use crate::web::{Link, LinkError, LinkRequest};

/// Time for an order: a worker answers within a few ms, and a lost packet costs about 200 ms.
const ORDER_TIMEOUT: Millis = Millis(500);

/// Time on top of a read's own wait.
const HOLD_MARGIN: Millis = Millis(600);

/// Calls workers, each over connections of its own.
#[derive(Default)]
pub struct WorkerClient {
    links: Mutex<HashMap<String, Arc<Link>>>,
}

impl WorkerClient {
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

    async fn order(&self, order: &StopOrder, path: &str, mut body: Value) -> bool {
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
    async fn hold(&self, worker: &WorkerId, call: &HoldCall) -> Result<Report, HoldError> {
        let mut body = json!({ "fence": call.fence, "lastSeen": call.last_seen });
        if let Some(deadline) = call.deadline {
            body["deadlineMs"] = json!(deadline.0);
        }
        if call.wait > Millis::ZERO {
            body["waitMs"] = json!(call.wait.0);
        }
        let broken = |reason: String| {
            HoldError::Failed(CallError::Broken {
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
            return Err(HoldError::Ended);
        }
        if status != StatusCode::OK {
            return Err(HoldError::Failed(CallError::Status {
                addr: call.address.clone(),
                status: status.as_u16(),
                message: String::from_utf8_lossy(&body).into_owned(),
            }));
        }
        let lists: WireLists =
            serde_json::from_slice(&body).map_err(|err| broken(err.to_string()))?;
        lists.into_report().map_err(broken)
    }

    async fn start(&self, order: &StartOrder) -> StartAnswer {
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
            Ok((StatusCode::OK, _)) => StartAnswer::Started,
            Ok((StatusCode::CONFLICT, body)) => {
                let wire: Option<WireReason> = serde_json::from_slice(&body).ok();
                match wire.as_ref().map(|wire| wire.reason.as_str()) {
                    Some("fence") => StartAnswer::Fenced,
                    Some("old") => StartAnswer::Old,
                    Some("late") => StartAnswer::Late,
                    Some("room") => StartAnswer::NoRoom,
                    _ => StartAnswer::Refused,
                }
            }
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => StartAnswer::Ended,
            Ok((status, body)) => {
                let body = String::from_utf8_lossy(&body);
                tracing::info!(task = %order.task, worker = %order.worker, %status, %body, "start refused");
                StartAnswer::Refused
            }
            Err(err) => {
                tracing::info!(task = %order.task, worker = %order.worker, %err, "start unanswered");
                StartAnswer::Unknown
            }
        }
    }

    async fn stop(&self, order: &StopOrder) -> bool {
        self.order(order, "/run-stop", json!({})).await
    }

    async fn pace(&self, order: &StopOrder, percent: u32) -> bool {
        self.order(order, "/pace", json!({ "percent": percent }))
            .await
    }
}
