//! Handler of the proxy's paths on the peer listener.

use async_trait::async_trait;
use http::StatusCode;

use super::head::Listener;
use super::keyed::{MERGE_PATH, RECORD_PATH};
use super::peer_load::report_load;
use super::serve::serve;
use super::shared::Shared;
use crate::prelude::*;
use crate::schema::dedup::{MergeKeys, RecordKey};
use crate::web::{WebReq, WebRes, WebService, decode, packed, read_body, text};

/// Maximum size of a message about keys. A handover has at most 512 KB of response bodies, whose
/// bytes are encoded as numbers.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Serves `/peer/forward/` and `/peer/keys/`.
pub(super) struct PeerRequestHandler {
    pub(super) shared: Arc<Shared>,
}

#[async_trait(?Send)]
impl WebService for PeerRequestHandler {
    async fn call(&self, req: WebReq) -> WebRes {
        let path = req.uri().path();
        if path.starts_with(Listener::Peers.prefix()) {
            let service = forwarded_service(path);
            let mut res = serve(&self.shared, req, Listener::Peers).await;
            if let Some(service) = service {
                report_load(&self.shared, &service, res.headers_mut());
            }
            return res;
        }
        let path = path.to_string();
        let buf = match read_body(req, MAX_MESSAGE_BYTES).await {
            Ok(buf) => buf,
            Err(err) => return text(err.status(), err.to_string()),
        };
        match path.as_str() {
            RECORD_PATH => self.record(&buf),
            MERGE_PATH => self.merge(&buf),
            _ => text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}

/// Returns the service in the path of a forwarded request.
fn forwarded_service(path: &str) -> Option<ServiceId> {
    let rest = path.strip_prefix(Listener::Peers.prefix())?;
    rest.trim_start_matches('/').split('/').next()?.parse().ok()
}

impl PeerRequestHandler {
    fn record(&self, buf: &[u8]) -> WebRes {
        let shared = &self.shared;
        match decode::<RecordKey>(buf) {
            Ok(message) => {
                let epoch = shared.ownership.epoch();
                packed(
                    &shared
                        .keys
                        .record_backup(&message, epoch, shared.clock.now()),
                )
            }
            Err(err) => text(StatusCode::BAD_REQUEST, err),
        }
    }

    fn merge(&self, buf: &[u8]) -> WebRes {
        let shared = &self.shared;
        match decode::<MergeKeys>(buf) {
            Ok(message) => match shared.keys.merge(&message, shared.clock.now()) {
                Some(reply) => packed(&reply),
                None => text(StatusCode::CONFLICT, "epoch is not adopted yet\n"),
            },
            Err(err) => text(StatusCode::BAD_REQUEST, err),
        }
    }
}
