//! Calls for the key ring.

use http::Method;

use super::AdminAnswer;
use super::answer::no_such_call;
use super::auth::{Caller, unauthenticated};
use super::request::Request;
use crate::bundle::BundleDesk;
use crate::prelude::*;

pub(super) async fn call(desk: &BundleDesk, caller: &Caller, req: &Request<'_>) -> AdminAnswer {
    let who = match caller {
        Caller::Operator(operator) => Some(&operator.name),
        Caller::Anonymous => None,
    };
    match (req.method, &req.path[1..]) {
        (&Method::GET, []) => ring(desk, who).await,
        (&Method::POST, []) => match req.json() {
            Ok(body) => desk.change_ring(who, body).await.into(),
            Err(err) => Err::<(), _>(err).into(),
        },
        _ => no_such_call(),
    }
}

/// Shows the ring; before there is one, nobody can have a token.
async fn ring(desk: &BundleDesk, who: Option<&OperatorId>) -> AdminAnswer {
    match desk.ring().await {
        Ok(view) if view.ring.is_some() && who.is_none() => {
            unauthenticated("call has no bearer token").into()
        }
        result => result.into(),
    }
}
