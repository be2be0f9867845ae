//! `sapphirecroft key revoke`.

use bpaf::{Parser, construct, long, positional};

use super::ring::{RingChange, describe, ring_change};
use crate::cli::{CliError, Output};
use crate::prelude::*;

/// Keys to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revoke {
    ring: RingChange,
    key: Option<KeyId>,
    operator: OperatorId,
}

pub(super) fn revoke() -> impl Parser<Revoke> {
    let ring = ring_change();
    let key = long("key")
        .help("End only this key; without it all keys and the token end")
        .argument::<KeyId>("KEY")
        .optional();
    let operator = positional::<OperatorId>("OPERATOR").help("Name of the operator");
    construct!(Revoke {
        ring,
        key,
        operator
    })
    .to_options()
    .descr(
        "End keys with the version in force; versions that were signed before stay valid, \
         sign-offs that are not rolled out become void",
    )
    .command("revoke")
    .help("End an operator's keys and token")
}

impl Revoke {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let change = match &self.key {
            Some(key) => format!("revoke key {key} of {}", self.operator),
            None => format!("revoke all keys and the token of {}", self.operator),
        };
        let edit = |ring: &mut crate::schema::config::KeyRing, version| {
            ring.revoke(&self.operator, self.key.as_ref(), version)
        };
        let view = self.ring.apply(change, edit).await?;
        Output::data(self.ring.api.json, &view, describe)
    }
}
