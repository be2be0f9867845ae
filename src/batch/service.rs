//! HTTP service for calls of other members to this job owner and rack owner.

use async_trait::async_trait;
use http::StatusCode;

use super::calls::PEER_PATH;
use super::node::BatchNode;
use crate::prelude::*;
use crate::web::{WebReq, WebRes, WebService, decode, packed, read_body, text};

/// Maximum size of a request body.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Serves the paths under `/peer/batch/` to other members.
pub struct BatchService {
    node: Arc<BatchNode>,
}

impl BatchService {
    /// Creates a service that passes calls to `node`.
    pub fn new(node: Arc<BatchNode>) -> Arc<Self> {
        Arc::new(Self { node })
    }

    async fn respond(&self, name: &str, buf: &[u8]) -> Result<WebRes, String> {
        Ok(match name {
            "exchange" => packed(&self.node.receive_exchange(&decode(buf)?)),
            "report" => {
                self.node.receive_report(decode(buf)?);
                packed(&())
            }
            "jobs" => packed(&self.node.receive_job_call(decode(buf)?).await),
            _ => text(StatusCode::NOT_FOUND, "no such path\n"),
        })
    }
}

#[async_trait(?Send)]
impl WebService for BatchService {
    async fn call(&self, req: WebReq) -> WebRes {
        let path = req.uri().path().to_string();
        let name = path.strip_prefix(PEER_PATH).unwrap_or_default();
        let response = match read_body(req, MAX_MESSAGE_BYTES).await {
            Ok(buf) => self.respond(name, &buf).await,
            Err(err) => Err(err.to_string()),
        };
        response.unwrap_or_else(|err| text(StatusCode::BAD_REQUEST, err))
    }
}
