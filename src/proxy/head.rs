//! The head of a caller's request, checked and stripped.

use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use super::peer_load::{FREE_SLOTS, QUEUE_DELAY};
use crate::prelude::*;

/// Class of the request.
const CLASS: &str = "sapphirecroft-class";

/// Team that sends the request.
const TEAM: &str = "sapphirecroft-team";

/// Time left for the answer.
pub(super) const DEADLINE: &str = "sapphirecroft-deadline-ms";

/// Whether the request may run more than once.
pub(super) const IDEMPOTENT: &str = "sapphirecroft-idempotent";

/// Set by a member that forwards a request.
pub(super) const FORWARDED: &str = "sapphirecroft-forwarded";

/// Set by the home of a key that has recorded it already.
pub(super) const KEY_RECORDED: &str = "sapphirecroft-key-recorded";

/// Name that a caller gives to a request that may run only once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Prefix of all headers of this system.
const OWN_PREFIX: &str = "sapphirecroft-";

/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// Headers that concern one connection only.
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

/// Interface on which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Face {
    Callers,
    Peers,
}

impl Face {
    /// Path before the service's name.
    pub(super) const fn prefix(self) -> &'static str {
        match self {
            Self::Callers => "/",
            Self::Peers => "/peer/forward/",
        }
    }
}

/// Why a request head is not accepted; the request was not run.
#[derive(Clone, Debug)]
pub(super) struct Invalid {
    pub(super) status: StatusCode,
    pub(super) reason: String,
}

impl Invalid {
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

/// A checked request head.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) service: ServiceId,
    /// Path and query as the endpoint sees them.
    pub(super) target: String,
    pub(super) method: Method,
    /// End-to-end headers.
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
    pub(super) fn parse(parts: &Parts, face: Face) -> Result<Self, Invalid> {
        let (service, target) = split_target(parts, face)?;
        let headers = &parts.headers;
        if matches!(parts.method, Method::CONNECT | Method::TRACE) {
            let reason = format!("method {} is not supported", parts.method);
            return Err(Invalid::new(StatusCode::METHOD_NOT_ALLOWED, reason));
        }
        // xitca reports the end of a chunked body that was cut off like a complete one.
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(Invalid::new(
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
            return Err(Invalid::header(format!(
                "missing header {IDEMPOTENCY_KEY}: {} {target} is not idempotent",
                parts.method
            )));
        }
        let flag = |name| headers.get(name).is_some_and(|value| value == "true");
        let from_peer = face == Face::Peers;
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

    /// Names the key among all services and teams.
    pub(super) fn scoped_key(&self) -> Option<String> {
        let key = self.key.as_ref()?;
        let team = self.team.as_ref().map_or("", |team| team.as_str());
        Some(format!("{} {team} {key}", self.service))
    }

    /// Names the request that a key belongs to.
    pub(super) fn request_name(&self) -> String {
        format!("{} {}", self.method, self.target)
    }
}

/// Removes what concerns this hop only from the headers of an answer.
pub(super) fn strip_answer(headers: &HeaderMap, keep_own: bool) -> HeaderMap {
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

fn split_target(parts: &Parts, face: Face) -> Result<(ServiceId, String), Invalid> {
    let path = parts.uri.path();
    let rest = path.strip_prefix(face.prefix()).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = service.parse().map_err(|_| {
        let reason = "the path has no valid service: use /<service>/<path>";
        Invalid::new(StatusCode::NOT_FOUND, reason)
    })?;
    let query = parts.uri.query();
    let query = query.map_or(String::new(), |query| format!("?{query}"));
    Ok((service, format!("/{path}{query}")))
}

fn parse_key(headers: &HeaderMap) -> Result<Option<String>, Invalid> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(Invalid::header(format!(
            "header {IDEMPOTENCY_KEY} must have 1 to {MAX_KEY_BYTES} visible ASCII characters"
        )));
    }
    Ok(Some(text.to_string()))
}

fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, Invalid> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    parsed
        .map(Some)
        .ok_or_else(|| Invalid::header(format!("header {name} has an invalid value")))
}

/// Builds a header value from a number or flag.
pub(super) fn header_value(value: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::from_str(&value.to_string()).unwrap_or_else(|_| HeaderValue::from_static(""))
}
