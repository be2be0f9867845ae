//! Calls that show and change the key ring.

use http::Method;

use super::AdminAnswer;
use super::answer::no_such_call;
use super::auth::{Caller, unauthenticated};
use super::request::Request;
use crate::bundle::BundleManager;
use crate::prelude::*;

pub(super) async fn call(
    manager: &BundleManager,
    caller: &Caller,
    req: &Request<'_>,
) -> AdminAnswer {
    let who = match caller {
        Caller::Operator(operator) => Some(&operator.name),
        Caller::Anonymous => None,
    };
    match (req.method, &req.path[1..]) {
        (&Method::GET, []) => ring(manager, who).await,
        (&Method::POST, []) => match req.json() {
            Ok(body) => manager.change_ring(who, body).await.into(),
            Err(err) => Err::<(), _>(err).into(),
        },
        _ => no_such_call(),
    }
}

/// Returns the key ring to an operator. Before the first key ring, when no token exists, anonymous
/// callers are allowed too.
async fn ring(manager: &BundleManager, who: Option<&OperatorId>) -> AdminAnswer {
    match manager.ring().await {
        Ok(view) if view.ring.is_some() && who.is_none() => {
            unauthenticated("call has no bearer token").into()
        }
        result => result.into(),
    }
}
