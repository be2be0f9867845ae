//! Authentication and dispatch of calls to the administration API.

use async_trait::async_trait;
use http::Method;

use super::answer::no_such_call;
use super::auth::{Auth, Caller, unauthenticated};
use super::request::Request;
use super::{AdminAnswer, AdminExtension, audit_calls, bundle_calls, key_calls};
use crate::bundle::{BundleKeeper, BundleManager};
use crate::prelude::*;
use crate::schema::config::ErrorKind;
use crate::web::{WebReq, WebRes, WebService, read_body};

/// Prefix of all paths of the API.
pub const ADMIN_PREFIX: &str = "/admin/v1";

/// Maximum size of a request body, enough for a bundle or a key ring escaped as JSON.
const MAX_BODY_BYTES: usize = 1 << 20;

/// HTTP service of the administration API.
pub struct AdminService {
    manager: Arc<BundleManager>,
    auth: Auth,
    extensions: Vec<Arc<dyn AdminExtension>>,
}

impl AdminService {
    /// Creates the service with the calls for bundles, keys and the audit trail.
    pub fn new(manager: Arc<BundleManager>, keeper: Arc<BundleKeeper>) -> Self {
        Self {
            manager,
            auth: Auth::new(keeper),
            extensions: Vec::new(),
        }
    }

    /// Adds the calls of another module under their prefix.
    pub fn extend(mut self, extension: Arc<dyn AdminExtension>) -> Self {
        self.extensions.push(extension);
        self
    }

    async fn answer(&self, req: WebReq) -> AdminAnswer {
        let method = req.method().clone();
        let target = req.uri().path_and_query().map_or("/", |path| path.as_str());
        let Some(path) = target.strip_prefix(ADMIN_PREFIX).map(str::to_string) else {
            return no_such_call();
        };
        let caller = match self.auth.identify(req.headers(), &self.manager).await {
            Ok(caller) => caller,
            Err(err) => return err.into(),
        };
        let body = match read_body(req, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(err) => return AdminAnswer::error(ErrorKind::BadInput, err.to_string()),
        };
        self.dispatch(caller, &method, &path, &body).await
    }

    async fn dispatch(
        &self,
        caller: Caller,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> AdminAnswer {
        let req = Request::new(method, path, body);
        if req.path.first() == Some(&"keys") {
            return key_calls::call(&self.manager, &caller, &req).await;
        }
        let Caller::Operator(operator) = caller else {
            return unauthenticated("call has no bearer token").into();
        };
        match req.path.first() {
            Some(&"bundle") => bundle_calls::call(&self.manager, &operator.name, &req).await,
            Some(&"audit") => audit_calls::call(self.manager.audit(), &operator, &req).await,
            _ => match self.extension(path) {
                Some((extension, rest)) => extension.call(&operator, method, rest, body).await,
                None => no_such_call(),
            },
        }
    }

    /// Returns the extension whose prefix matches whole segments of the path, and the rest of the
    /// path.
    fn extension<'a>(&self, path: &'a str) -> Option<(&dyn AdminExtension, &'a str)> {
        self.extensions.iter().find_map(|extension| {
            let rest = path.strip_prefix(extension.prefix())?;
            (rest.is_empty() || rest.starts_with(['/', '?'])).then_some((extension.as_ref(), rest))
        })
    }
}

#[async_trait(?Send)]
impl WebService for AdminService {
    async fn call(&self, req: WebReq) -> WebRes {
        self.answer(req).await.into_response()
    }
}
