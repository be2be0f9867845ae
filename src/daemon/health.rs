//! Health, readiness and metrics on the administration listener, without authentication.

use async_trait::async_trait;
use http::StatusCode;
use prometheus::{Registry, TextEncoder};
use serde_json::json;

use super::daemon_metrics::DaemonMetrics;
use crate::bundle::BundleKeeper;
use crate::peer::MemberNode;
use crate::prelude::*;
use crate::web::{WebReq, WebRes, WebService, text};

/// Serves `/health`, `/ready` and `/metrics`.
pub(super) struct Health {
    pub(super) node: Arc<MemberNode>,
    pub(super) keeper: Arc<BundleKeeper>,
    pub(super) registry: Registry,
    pub(super) metrics: DaemonMetrics,
    pub(super) stopping: CancellationToken,
}

impl Health {
    fn health(&self) -> WebRes {
        let view = self.node.watch_view().borrow().clone();
        let body = json!({
            "bundle_version": self.keeper.newest(),
            "member_epoch": view.epoch,
            "members": view.members.len(),
            "active": view.active,
            "store_silent": view.store_silent,
            "silent_members": view.silent,
        });
        text(StatusCode::OK, format!("{body}\n"))
    }

    fn ready(&self) -> WebRes {
        if self.stopping.is_cancelled() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n");
        }
        if self.keeper.newest() == Version(0) {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no bundle is in force\n");
        }
        text(StatusCode::OK, "ready\n")
    }

    fn metrics(&self) -> WebRes {
        self.metrics.update(&self.node, &self.keeper);
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(body) => text(StatusCode::OK, body),
            Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }
}

#[async_trait(?Send)]
impl WebService for Health {
    async fn call(&self, req: WebReq) -> WebRes {
        match req.uri().path() {
            "/health" => self.health(),
            "/ready" => self.ready(),
            "/metrics" => self.metrics(),
            _ => text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}
