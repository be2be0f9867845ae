//! Validation of request heads, and removal of headers that are not forwarded.

use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use super::peer_load::{FREE_SLOTS, QUEUE_DELAY};
use crate::prelude::*;

/// Header of the request's class.
const CLASS: &str = "sapphirecroft-class";

/// Header of the team that sends the request.
const TEAM: &str = "sapphirecroft-team";

/// Header of the time that remains until the deadline, in milliseconds.
pub(super) const DEADLINE: &str = "sapphirecroft-deadline-ms";

/// Header that states whether the request may run more than once.
pub(super) const IDEMPOTENT: &str = "sapphirecroft-idempotent";

/// Header that a member sets when it forwards a request.
pub(super) const FORWARDED: &str = "sapphirecroft-forwarded";

/// Header that the home of a key sets after it has recorded the key.
pub(super) const KEY_RECORDED: &str = "sapphirecroft-key-recorded";

/// Header of the key by which a caller identifies a request that may run only once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Prefix of the headers of this system.
const OWN_PREFIX: &str = "sapphirecroft-";

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Listener on which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listener {
    Callers,
    Peers,
}

impl Listener {
    /// Returns the path prefix before the service's name.
    pub(super) const fn prefix(self) -> &'static str {
        match self {
            Self::Callers => "/",
            Self::Peers => "/peer/forward/",
        }
    }
}

/// Rejection of an invalid request head. The request was not run.
#[derive(Clone, Debug)]
pub(super) struct InvalidRequest {
    pub(super) status: StatusCode,
    pub(super) reason: String,
}

impl InvalidRequest {
    fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
        }
    }

    fn header(reason: String) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason)
    }
}

/// Validated request head.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) service: ServiceId,
    /// Path and query that the endpoint receives.
    pub(super) target: String,
    pub(super) method: Method,
    /// End-to-end headers that are forwarded.
    pub(super) headers: HeaderMap,
    pub(super) class: Option<ClassName>,
    pub(super) team: Option<TeamId>,
    pub(super) deadline: Option<Millis>,
    pub(super) idempotent: bool,
    pub(super) key: Option<String>,
    pub(super) forwarded: bool,
    pub(super) key_recorded: bool,
    pub(super) length: u64,
}

impl Head {
    pub(super) fn parse(parts: &Parts, listener: Listener) -> Result<Self, InvalidRequest> {
        let (service, target) = split_target(parts, listener)?;
        let headers = &parts.headers;
        if matches!(parts.method, Method::CONNECT | Method::TRACE) {
            let reason = format!("method {} is not supported", parts.method);
            return Err(InvalidRequest::new(StatusCode::METHOD_NOT_ALLOWED, reason));
        }
        // xitca reports a chunked body that was cut off as if it were complete.
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(InvalidRequest::new(
                StatusCode::LENGTH_REQUIRED,
                "request bodies need a content-length",
            ));
        }
        let idempotent = match parse_header::<bool>(headers, IDEMPOTENT)? {
            Some(marked) => marked,
            None => !matches!(parts.method, Method::POST | Method::PATCH),
        };
        let key = parse_key(headers)?;
        if !idempotent && key.is_none() {
            return Err(InvalidRequest::header(format!(
                "missing header {IDEMPOTENCY_KEY}: {} {target} is not idempotent",
                parts.method
            )));
        }
        let flag = |name| headers.get(name).is_some_and(|value| value == "true");
        let from_peer = listener == Listener::Peers;
        Ok(Self {
            service,
            target,
            method: parts.method.clone(),
            class: parse_header(headers, CLASS)?,
            team: parse_header(headers, TEAM)?,
            deadline: parse_header(headers, DEADLINE)?,
            idempotent,
            key: key.filter(|_| !idempotent),
            forwarded: from_peer && flag(FORWARDED),
            key_recorded: from_peer && flag(KEY_RECORDED),
            length: parse_header(headers, header::CONTENT_LENGTH.as_str())?.unwrap_or(0),
            headers: strip_request(headers),
        })
    }

    /// Returns the key, qualified by service and team.
    pub(super) fn scoped_key(&self) -> Option<String> {
        let key = self.key.as_ref()?;
        let team = self.team.as_ref().map_or("", |team| team.as_str());
        Some(format!("{} {team} {key}", self.service))
    }

    /// Returns the method and target, which identify the request that a key belongs to.
    pub(super) fn request_name(&self) -> String {
        format!("{} {}", self.method, self.target)
    }
}

/// Returns the headers of a response without those that apply to this hop only.
pub(super) fn strip_response(headers: &HeaderMap, keep_own: bool) -> HeaderMap {
    strip(headers, |name| {
        let own = name.as_str().starts_with(OWN_PREFIX);
        let for_this_hop = [FREE_SLOTS, QUEUE_DELAY].contains(&name.as_str());
        name == header::CONTENT_LENGTH || for_this_hop || (!keep_own && own)
    })
}

fn strip_request(headers: &HeaderMap) -> HeaderMap {
    strip(headers, |name| {
        let own = [DEADLINE, FORWARDED, KEY_RECORDED];
        name == header::CONTENT_LENGTH || name == header::EXPECT || own.contains(&name.as_str())
    })
}

fn strip(headers: &HeaderMap, also: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let dropped = HOP_BY_HOP.contains(&text) || named.iter().any(|held| held == text);
        if !dropped && !also(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

fn split_target(parts: &Parts, listener: Listener) -> Result<(ServiceId, String), InvalidRequest> {
    let path = parts.uri.path();
    let rest = path.strip_prefix(listener.prefix()).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = service.parse().map_err(|_| {
        let reason = "the path has no valid service: use /<service>/<path>";
        InvalidRequest::new(StatusCode::NOT_FOUND, reason)
    })?;
    let query = parts.uri.query();
    let query = query.map_or(String::new(), |query| format!("?{query}"));
    Ok((service, format!("/{path}{query}")))
}

fn parse_key(headers: &HeaderMap) -> Result<Option<String>, InvalidRequest> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(InvalidRequest::header(format!(
            "header {IDEMPOTENCY_KEY} must have 1 to {MAX_KEY_BYTES} visible ASCII characters"
        )));
    }
    Ok(Some(text.to_string()))
}

fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, InvalidRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    parsed
        .map(Some)
        .ok_or_else(|| InvalidRequest::header(format!("header {name} has an invalid value")))
}

/// Builds a header value from displayable text; invalid text gives an empty value.
pub(super) fn header_value(value: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::from_str(&value.to_string()).unwrap_or_else(|_| HeaderValue::from_static(""))
}
