//! Options and calls that reach the administration API.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CliError;
use crate::admin::ADMIN_PREFIX;
use crate::prelude::*;
use crate::schema::config::{ApiError, ErrorKind};

/// Time for one call; checking a long audit trail takes the longest.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Where the administration API is and how to call it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Api {
    addr: Address,
    token_file: Option<PathBuf>,
    /// Whether data is printed as JSON.
    pub json: bool,
}

pub(super) fn api() -> impl Parser<Api> {
    let addr = long("api")
        .env("SAPPHIRECROFT_API")
        .help("Address of the administration API, such as 127.0.0.1:7102")
        .argument::<Address>("ADDRESS");
    let token_file = long("token-file")
        .env("SAPPHIRECROFT_TOKEN_FILE")
        .help("File that holds the bearer token")
        .argument::<PathBuf>("FILE")
        .optional();
    let json = long("json").help("Print data as JSON").switch();
    construct!(Api {
        addr,
        token_file,
        json
    })
}

impl Api {
    /// Reads data.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Makes a change.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CliError> {
        let body = serde_json::to_vec(body).map_err(|err| CliError::bad_input(err.to_string()))?;
        self.call(Method::POST, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CliError> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{ADMIN_PREFIX}{path}", self.addr));
        if let Some(token) = self.token()? {
            req = req.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = req.body(Full::new(body)).map_err(|_| {
            CliError::bad_input("call cannot be built; check the token file and the address")
        })?;
        let (status, body) = tokio::time::timeout(CALL_TIMEOUT, self.send(req))
            .await
            .map_err(|_| self.unknown("no answer in time"))??;
        if status != StatusCode::OK {
            return Err(refusal(status, &body));
        }
        serde_json::from_slice(&body)
            .map_err(|err| self.unknown(&format!("answer cannot be read: {err}")))
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), CliError> {
        let client: Client<HttpConnector, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let res = client.request(req).await.map_err(|err| {
            if err.is_connect() {
                CliError::unreachable(format!("{} cannot be reached; nothing was sent", self.addr))
            } else {
                self.unknown(&err.to_string())
            }
        })?;
        let status = res.status();
        let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|err| self.unknown(&err.to_string()))?;
        Ok((status, body.to_bytes()))
    }

    fn token(&self) -> Result<Option<String>, CliError> {
        let Some(file) = &self.token_file else {
            return Ok(None);
        };
        let text = fs::read_to_string(file).map_err(|err| {
            CliError::bad_input(format!(
                "token file {} cannot be read: {err}",
                file.display()
            ))
        })?;
        Ok(Some(text.trim().to_string()))
    }

    fn unknown(&self, reason: &str) -> CliError {
        CliError::unreachable(format!(
            "call to {} failed, its outcome is unknown: {reason}",
            self.addr
        ))
    }
}

fn refusal(status: StatusCode, body: &[u8]) -> CliError {
    let Ok(err) = serde_json::from_slice::<ApiError>(body) else {
        return CliError::unreachable(format!("call failed with status {status}"));
    };
    match err.kind {
        ErrorKind::BadInput => CliError::bad_input(err.message),
        ErrorKind::Unavailable | ErrorKind::UnknownOutcome | ErrorKind::Internal => {
            CliError::unreachable(err.message)
        }
        _ => CliError::refused(err.message),
    }
}
