//! HTTP handlers for callers, the load balancer's readiness check and the metrics.

use async_trait::async_trait;
use http::{Method, StatusCode};
use xitca_web::body::ResponseBody;

use super::job_weight::job_weight;
use super::jobs::{self, ChangeOutcome};
use super::shared::Shared;
use crate::prelude::*;
use crate::scheduler::QueueTable;
use crate::web::{InboundRequest, Reservation, WebReq, WebRes, WebService, read_body, text};

/// Value of `Retry-After` in seconds; a lost leader or store is usually available again by then.
const RETRY_AFTER_S: &str = "1";

/// Handles requests of callers.
pub(super) struct FrontendHandler {
    pub shared: Arc<Shared>,
    pub runtime: tokio::runtime::Handle,
}

/// A decoded request of a caller.
enum CallerRequest {
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
        let queue = table.find(&host, &path);
        let suffix = queue.map(|queue| path[queue.prefix.len()..].to_string());
        if needs_newest_config(req.method(), suffix.as_deref()) && self.shared.is_config_outdated()
        {
            return self.refuse_unconfirmed(&host, &path, table.version);
        }
        let (Some(queue), Some(suffix)) = (queue, suffix) else {
            return text(StatusCode::NOT_FOUND, "no such queue");
        };
        let name = queue.name.clone();
        let inbound = req.extensions().get::<InboundRequest>().cloned();
        let request = match decode(req, &suffix, table.max_body).await {
            Ok(request) => request,
            Err((StatusCode::SERVICE_UNAVAILABLE, message)) => return refuse(&message),
            Err((status, message)) => return text(status, message),
        };
        let Ok(reservation) = reserve(&request, inbound, &name).await else {
            return refuse("too many jobs are being stored");
        };
        let shared = self.shared.clone();
        match self
            .runtime
            .spawn(async move {
                let answer = handle(shared, table, name, request).await;
                drop(reservation);
                answer
            })
            .await
        {
            Ok(answer) => json_response(answer),
            Err(err) => {
                tracing::error!(%err, "request handler failed; the outcome of the request is unknown");
                text(StatusCode::GATEWAY_TIMEOUT, "outcome unknown")
            }
        }
    }
}

impl FrontendHandler {
    /// Refuses a request because the configuration in force may be outdated.
    fn refuse_unconfirmed(&self, host: &str, path: &str, version: u64) -> WebRes {
        tracing::info!(
            host,
            path,
            config = version,
            age_ms = self.shared.config_age().map(|age| age.0),
            "request refused; the configuration is not confirmed"
        );
        refuse("the configuration is not confirmed")
    }
}

/// There is no memory to serve a request.
struct NoMemory;

/// Reserves the memory that a submission takes until it is answered.
async fn reserve(
    request: &CallerRequest,
    inbound: Option<InboundRequest>,
    queue: &str,
) -> Result<Option<Reservation>, NoMemory> {
    let (CallerRequest::Submit(id, body), Some(inbound)) = (request, inbound) else {
        return Ok(None);
    };
    let bytes = job_weight(body);
    let reservation = inbound.reserve(bytes).await;
    if reservation.is_none() {
        tracing::info!(job = %id, queue, bytes, "no memory for the job; it is refused");
        return Err(NoMemory);
    }
    Ok(reservation)
}

/// Returns whether the answer depends on which queues there are now: an unknown queue may have been
/// added, and the queue of a submission or count may have been removed. Jobs are known by their ids.
fn needs_newest_config(method: &Method, suffix: Option<&str>) -> bool {
    suffix.is_none_or(str::is_empty) || method == Method::POST
}

async fn decode(
    req: WebReq,
    suffix: &str,
    max_body: usize,
) -> Result<CallerRequest, (StatusCode, String)> {
    let bad = |err: String| (StatusCode::BAD_REQUEST, err);
    if suffix.is_empty() {
        return match *req.method() {
            Method::GET => Ok(CallerRequest::Pending),
            _ => Err((StatusCode::METHOD_NOT_ALLOWED, "GET only".to_string())),
        };
    }
    let id: JobId = suffix
        .parse()
        .map_err(|err: ModelError| bad(err.to_string()))?;
    if suffix.contains(['.', ':', '/']) {
        return Err(bad(format!("{suffix:?} is not the id of a job")));
    }
    match *req.method() {
        Method::GET => Ok(CallerRequest::State(id)),
        Method::DELETE => Ok(CallerRequest::Cancel(id)),
        Method::POST => Ok(CallerRequest::Submit(
            id,
            read_body(req, max_body)
                .await
                .map_err(|err| (err.status(), err.to_string()))?,
        )),
        _ => Err((
            StatusCode::METHOD_NOT_ALLOWED,
            "GET, POST and DELETE only".to_string(),
        )),
    }
}

/// An answer to a caller.
struct Answer {
    status: StatusCode,
    body: Vec<u8>,
    /// A refusal says when to come back.
    may_retry: bool,
}

impl Answer {
    fn new(status: StatusCode, body: Vec<u8>) -> Self {
        let refusals = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        Self {
            status,
            body,
            may_retry: refusals.contains(&status),
        }
    }
}

async fn handle(
    shared: Arc<Shared>,
    table: Arc<QueueTable>,
    queue: String,
    request: CallerRequest,
) -> Answer {
    let started = shared.clock.now();
    let (verb, answer) = match &request {
        CallerRequest::Submit(id, body) => {
            ("submit", submit(&shared, &table, &queue, id, body).await)
        }
        CallerRequest::State(id) => ("state", state(&shared, id).await),
        CallerRequest::Cancel(id) => ("cancel", cancel(&shared, id).await),
        CallerRequest::Pending => ("pending", pending(&shared, &queue).await),
    };
    let status = answer.status;
    let took = shared.clock.now().since(started);
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
    if let CallerRequest::Submit(id, _) | CallerRequest::Cancel(id) = &request {
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
    answer
}

async fn submit(
    shared: &Shared,
    table: &QueueTable,
    queue: &str,
    id: &JobId,
    body: &[u8],
) -> Answer {
    let mut spec = match shared.platform_format.job(body) {
        Ok(spec) => spec,
        Err(err) => {
            tracing::info!(job = %id, queue, %err, config = table.version, "submitted job is invalid; it is rejected");
            return Answer::new(StatusCode::BAD_REQUEST, err.into_bytes());
        }
    };
    spec.queue = queue.to_string();
    spec.accepted_by = table.queues.get(queue).cloned();
    spec.submitted = shared.clock.wall();
    change_response(jobs::submit(shared, id, &spec, true).await)
}

async fn cancel(shared: &Shared, id: &JobId) -> Answer {
    change_response(jobs::cancel(shared, id, true).await)
}

fn change_response(outcome: ChangeOutcome) -> Answer {
    let status = match outcome {
        ChangeOutcome::Stored => StatusCode::OK,
        ChangeOutcome::Refused | ChangeOutcome::Withdrawn => StatusCode::SERVICE_UNAVAILABLE,
        ChangeOutcome::TooMany => StatusCode::TOO_MANY_REQUESTS,
        ChangeOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        ChangeOutcome::NoJob => StatusCode::GONE,
    };
    let answer = Answer::new(status, b"{}".to_vec());
    Answer {
        // A job that its caller has cancelled stays refused.
        may_retry: answer.may_retry && outcome != ChangeOutcome::Withdrawn,
        ..answer
    }
}

async fn state(shared: &Shared, id: &JobId) -> Answer {
    match jobs::look_up(shared, id).await {
        Ok(Some(view)) => Answer::new(StatusCode::OK, shared.platform_format.state(view)),
        Ok(None) => Answer::new(StatusCode::GONE, b"{}".to_vec()),
        Err(err) => Answer::new(
            StatusCode::SERVICE_UNAVAILABLE,
            err.to_string().into_bytes(),
        ),
    }
}

async fn pending(shared: &Shared, queue: &str) -> Answer {
    match jobs::pending(shared, queue).await {
        Some(count) => Answer::new(StatusCode::OK, shared.platform_format.pending(count)),
        None => Answer::new(StatusCode::SERVICE_UNAVAILABLE, b"{}".to_vec()),
    }
}

fn refuse(message: &str) -> WebRes {
    json_response(Answer::new(
        StatusCode::SERVICE_UNAVAILABLE,
        message.as_bytes().to_vec(),
    ))
}

fn json_response(answer: Answer) -> WebRes {
    let mut res = WebRes::new(ResponseBody::bytes(answer.body));
    *res.status_mut() = answer.status;
    let headers = res.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    if answer.may_retry {
        headers.insert(
            http::header::RETRY_AFTER,
            http::HeaderValue::from_static(RETRY_AFTER_S),
        );
    }
    res
}

/// Answers the readiness check of the load balancer.
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
        match self.0.encode_metrics() {
            Ok(buf) => WebRes::new(ResponseBody::bytes(buf)),
            Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }
}
