//! Sends requests to services by the start of their path.

use async_trait::async_trait;
use http::StatusCode;

use super::{WebReq, WebRes, WebService, text};
use crate::prelude::*;

/// Services by path prefix; the longest matching prefix wins.
#[derive(Default)]
pub struct Routes {
    routes: Vec<(String, Arc<dyn WebService>)>,
}

impl Routes {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service for all paths that start with `prefix`.
    pub fn at(mut self, prefix: &str, service: Arc<dyn WebService>) -> Self {
        self.routes.push((prefix.to_string(), service));
        self
    }
}

#[async_trait(?Send)]
impl WebService for Routes {
    async fn call(&self, req: WebReq) -> WebRes {
        let path = req.uri().path();
        let found = self
            .routes
            .iter()
            .filter(|(prefix, _)| path.starts_with(prefix.as_str()))
            .max_by_key(|(prefix, _)| prefix.len());
        match found {
            Some((_, service)) => service.call(req).await,
            None => text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}
