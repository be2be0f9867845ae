//! `sapphirecroft key rotate`.

use bpaf::{Parser, construct, long, positional};

use super::ring::{RingChange, describe, ring_change};
use crate::cli::{CliError, Output};
use crate::prelude::*;

/// A new key for an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rotate {
    ring: RingChange,
    public: PublicKey,
    token_digest: Option<Digest>,
    operator: OperatorId,
}

pub(super) fn rotate() -> impl Parser<Rotate> {
    let ring = ring_change();
    let public = long("public")
        .help("New public key, as printed by generate")
        .argument::<PublicKey>("PUBLIC");
    let token_digest = long("token-digest")
        .help("Digest of a new token; the old token stays valid if absent")
        .argument::<Digest>("SHA256")
        .optional();
    let operator = positional::<OperatorId>("OPERATOR").help("Name of the operator");
    construct!(Rotate {
        ring,
        public,
        token_digest,
        operator
    })
    .to_options()
    .descr(
        "End an operator's keys with the version in force and start a new one; sign-offs that \
         are not rolled out become void",
    )
    .command("rotate")
    .help("Replace an operator's key")
}

impl Rotate {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let change = format!("rotate the key of {}", self.operator);
        let edit = |ring: &mut crate::schema::config::KeyRing, version| {
            ring.rotate(&self.operator, self.public, self.token_digest, version)
        };
        let view = self.ring.apply(change, edit).await?;
        Output::data(self.ring.api.json, &view, describe)
    }
}
