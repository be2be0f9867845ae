//! What callers, the balancer and operators reach.

use async_trait::async_trait;
use http::{Method, StatusCode};
use xitca_web::body::ResponseBody;

use super::jobs::{self, Change};
use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::QueueTable;
use crate::web::{WebReq, WebRes, WebService, read_body, text};

/// Hint to a refused caller, in seconds: a lost leader or store is usually back by then.
const RETRY_AFTER_S: &str = "1";

/// Answers callers.
pub(super) struct FrontendHandler {
    pub shared: Arc<Shared>,
    pub runtime: tokio::runtime::Handle,
}

/// A caller's request, decoded.
enum Ask {
    Submit(JobId, Vec<u8>),
    State(JobId),
    Cancel(JobId),
    Pending,
}

#[async_trait(?Send)]
impl WebService for FrontendHandler {
    async fn call(&self, req: WebReq) -> WebRes {
        let Some(table) = self.shared.queues.read().clone() else {
            return refuse("no configuration yet");
        };
        let host = req
            .headers()
            .get(http::header::HOST)
            .and_then(|value| value.to_str().ok())
            .map(|host| host.split(':').next().unwrap_or(host).to_string())
            .unwrap_or_default();
        let path = req.uri().path().to_string();
        let Some(queue) = table.find(&host, &path) else {
            return text(StatusCode::NOT_FOUND, "no such queue");
        };
        let rest = path[queue.prefix.len()..].to_string();
        let name = queue.name.clone();
        let ask = match decode(req, &rest, table.max_body).await {
            Ok(ask) => ask,
            Err((status, message)) => return text(status, message),
        };
        let shared = self.shared.clone();
        match self.runtime.spawn(answer(shared, table, name, ask)).await {
            Ok((status, body)) => json(status, body),
            Err(err) => {
                tracing::error!(%err, "request ended early");
                text(StatusCode::GATEWAY_TIMEOUT, "outcome unknown")
            }
        }
    }
}

async fn decode(req: WebReq, rest: &str, max_body: usize) -> Result<Ask, (StatusCode, String)> {
    let bad = |err: String| (StatusCode::BAD_REQUEST, err);
    if rest.is_empty() {
        return match *req.method() {
            Method::GET => Ok(Ask::Pending),
            _ => Err((StatusCode::METHOD_NOT_ALLOWED, "GET only".to_string())),
        };
    }
    let id: JobId = rest
        .parse()
        .map_err(|err: ModelError| bad(err.to_string()))?;
    if rest.contains(['.', ':', '/']) {
        return Err(bad(format!("{rest:?} is not the id of a job")));
    }
    match *req.method() {
        Method::GET => Ok(Ask::State(id)),
        Method::DELETE => Ok(Ask::Cancel(id)),
        Method::POST => Ok(Ask::Submit(
            id,
            read_body(req, max_body).await.map_err(bad)?,
        )),
        _ => Err((
            StatusCode::METHOD_NOT_ALLOWED,
            "GET, POST and DELETE only".to_string(),
        )),
    }
}

async fn answer(
    shared: Arc<Shared>,
    table: Arc<QueueTable>,
    queue: String,
    ask: Ask,
) -> (StatusCode, Vec<u8>) {
    let began = shared.clock.now();
    let (verb, (status, body)) = match &ask {
        Ask::Submit(id, body) => ("submit", submit(&shared, &table, &queue, id, body).await),
        Ask::State(id) => ("state", state(&shared, id).await),
        Ask::Cancel(id) => ("cancel", cancel(&shared, id).await),
        Ask::Pending => ("pending", pending(&shared, &queue).await),
    };
    let took = shared.clock.now().since(began);
    shared
        .metrics
        .requests
        .with_label_values(&[verb, status.as_str()])
        .inc();
    shared
        .metrics
        .request_seconds
        .with_label_values(&[verb])
        .observe(std::time::Duration::from(took).as_secs_f64());
    if let Ask::Submit(id, _) | Ask::Cancel(id) = &ask {
        tracing::info!(
            job = %id, verb, queue, status = status.as_u16(), took_ms = took.0,
            config = table.version, "request answered"
        );
    } else if status.is_server_error() {
        tracing::info!(
            verb,
            queue,
            status = status.as_u16(),
            took_ms = took.0,
            "request answered"
        );
    }
    (status, body)
}

async fn submit(
    shared: &Shared,
    table: &QueueTable,
    queue: &str,
    id: &JobId,
    body: &[u8],
) -> (StatusCode, Vec<u8>) {
    let mut spec = match shared.format.job(body) {
        Ok(spec) => spec,
        Err(err) => {
            tracing::info!(job = %id, queue, %err, config = table.version, "job cannot be read");
            return (StatusCode::BAD_REQUEST, err.into_bytes());
        }
    };
    spec.queue = queue.to_string();
    spec.submitted = shared.clock.wall();
    status(jobs::submit(shared, id, &spec, true).await)
}

async fn cancel(shared: &Shared, id: &JobId) -> (StatusCode, Vec<u8>) {
    status(jobs::cancel(shared, id, true).await)
}

fn status(change: Change) -> (StatusCode, Vec<u8>) {
    let status = match change {
        Change::Stored => StatusCode::OK,
        Change::Refused => StatusCode::SERVICE_UNAVAILABLE,
        Change::Unknown => StatusCode::GATEWAY_TIMEOUT,
        Change::NoJob => StatusCode::GONE,
    };
    (status, b"{}".to_vec())
}

async fn state(shared: &Shared, id: &JobId) -> (StatusCode, Vec<u8>) {
    match jobs::look_up(shared, id).await {
        Ok(Some(view)) => (StatusCode::OK, shared.format.state(view)),
        Ok(None) => (StatusCode::GONE, b"{}".to_vec()),
        Err(err) => (
            StatusCode::SERVICE_UNAVAILABLE,
            err.to_string().into_bytes(),
        ),
    }
}

async fn pending(shared: &Shared, queue: &str) -> (StatusCode, Vec<u8>) {
    match jobs::pending(shared, queue).await {
        Some(count) => (StatusCode::OK, shared.format.pending(count)),
        None => (StatusCode::SERVICE_UNAVAILABLE, b"{}".to_vec()),
    }
}

fn refuse(message: &str) -> WebRes {
    json(StatusCode::SERVICE_UNAVAILABLE, message.as_bytes().to_vec())
}

fn json(status: StatusCode, body: Vec<u8>) -> WebRes {
    let mut res = WebRes::new(ResponseBody::bytes(body));
    *res.status_mut() = status;
    let headers = res.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(
            http::header::RETRY_AFTER,
            http::HeaderValue::from_static(RETRY_AFTER_S),
        );
    }
    res
}

/// Answers the balancer.
pub(super) struct ReadinessHandler(pub Arc<Shared>);

#[async_trait(?Send)]
impl WebService for ReadinessHandler {
    async fn call(&self, _req: WebReq) -> WebRes {
        if self.0.is_ready() {
            text(StatusCode::OK, "ready")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}

/// Serves the metrics.
pub(super) struct MetricsHandler(pub Arc<Shared>);

#[async_trait(?Send)]
impl WebService for MetricsHandler {
    async fn call(&self, _req: WebReq) -> WebRes {
        match self.0.metrics.text() {
            Ok(buf) => WebRes::new(ResponseBody::bytes(buf)),
            Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }
}
