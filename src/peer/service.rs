//! The web service through which peers call a node.

use async_trait::async_trait;
use http::StatusCode;
use serde::Serialize;
use xitca_web::body::ResponseBody;

use super::MemberNode;
use super::codec::{pack, unpack};
use crate::membership::Input;
use crate::prelude::*;
use crate::schema::peer::{Heartbeat, MemberRecord, RegionSummary};
use crate::web::{WebReq, WebRes, WebService, read_body, text};

/// Largest accepted message of a peer. A member record of 110 members takes about 12 KB.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Serves a node at `/peer/`.
pub struct PeerService(Arc<MemberNode>);

impl PeerService {
    /// Creates the service of `node`.
    pub fn new(node: Arc<MemberNode>) -> Self {
        Self(node)
    }

    fn response(&self, path: &str, body: &[u8]) -> Result<WebRes, String> {
        let node = &self.0;
        Ok(match path {
            "/peer/heartbeat" => {
                let beat: Heartbeat = unpack(body)?;
                bytes(&node.receive(&beat))?
            }
            "/peer/view" => {
                let record: Option<MemberRecord> = unpack(body)?;
                let theirs = record.as_ref().map_or(Epoch(0), |record| record.epoch);
                if let Some(record) = record {
                    node.step(Input::ViewReceived(record));
                }
                bytes(&node.record().filter(|own| own.epoch > theirs))?
            }
            "/peer/region" => {
                let summary: RegionSummary = unpack(body)?;
                node.record_region_status(&summary, node.now());
                bytes(&node.summary())?
            }
            "/peer/bundle" => match node.local.export_bundle() {
                Some(bundle) => WebRes::new(ResponseBody::bytes(bundle)),
                None => text(StatusCode::NOT_FOUND, "no bundle\n"),
            },
            _ => text(StatusCode::NOT_FOUND, "no such path\n"),
        })
    }
}

#[async_trait(?Send)]
impl WebService for PeerService {
    async fn call(&self, req: WebReq) -> WebRes {
        let path = req.uri().path().to_string();
        let response = read_body(req, MAX_MESSAGE_BYTES)
            .await
            .map_err(|err| err.to_string())
            .and_then(|body| self.response(&path, &body));
        response.unwrap_or_else(|err| text(StatusCode::BAD_REQUEST, err))
    }
}

fn bytes<T: Serialize>(message: &T) -> Result<WebRes, String> {
    Ok(WebRes::new(ResponseBody::bytes(pack(message)?)))
}
