//! `sapphirecroft bundle sign-off`.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};

use super::{check_digest, describe, expected_digest, proposal_id};
use crate::cli::api::{Api, api};
use crate::cli::secret_file::read_key;
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::config::{ProposalView, RingView, SignOffRequest};

/// A sign-off; the private key stays on this machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignOffVerb {
    api: Api,
    key: PathBuf,
    digest: Option<Digest>,
    proposal: ProposalId,
}

pub(super) fn sign_off() -> impl Parser<SignOffVerb> {
    let api = api();
    let key = long("key")
        .help("File that holds the private key; it is not sent")
        .argument::<PathBuf>("FILE");
    let digest = expected_digest();
    let proposal = proposal_id();
    construct!(SignOffVerb {
        api,
        key,
        digest,
        proposal
    })
    .to_options()
    .descr("Sign a reviewed proposal of somebody else off")
    .command("sign-off")
    .help("Sign a reviewed proposal of somebody else off")
}

impl SignOffVerb {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let key = read_key(&self.key)?;
        let path = format!("/bundle/proposals/{}", self.proposal);
        let view: ProposalView = self.api.get(&path).await?;
        check_digest(&view.proposal, self.digest)?;
        let ring: RingView = self.api.get("/keys").await?;
        let subject = view.proposal.subject(&ring.site);
        let req = SignOffRequest {
            key: key.id(),
            signature: key.sign(&subject.message()),
        };
        let view: ProposalView = self.api.post(&format!("{path}/sign-off"), &req).await?;
        Output::data(self.api.json, &view, describe)
    }
}
