//! `sapphirecroft bundle review`.

use bpaf::{Parser, construct, long};

use super::{check_digest, describe, expected_digest, proposal_id};
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::config::{ProposalView, ReviewRequest};

/// A verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReviewVerb {
    api: Api,
    approve: bool,
    note: String,
    digest: Option<Digest>,
    proposal: ProposalId,
}

pub(super) fn review() -> impl Parser<ReviewVerb> {
    let api = api();
    let yes = long("approve")
        .help("Agree with the proposal")
        .req_flag(true);
    let no = long("reject")
        .help("Reject the proposal for good")
        .req_flag(false);
    let approve = construct!([yes, no]);
    let note = long("note")
        .help("Reason, for the proposer")
        .argument::<String>("TEXT")
        .fallback(String::new());
    let digest = expected_digest();
    let proposal = proposal_id();
    construct!(ReviewVerb {
        api,
        approve,
        note,
        digest,
        proposal
    })
    .to_options()
    .descr("Approve or reject a proposal of somebody else")
    .command("review")
    .help("Approve or reject a proposal of somebody else")
}

impl ReviewVerb {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let path = format!("/bundle/proposals/{}", self.proposal);
        let view: ProposalView = self.api.get(&path).await?;
        check_digest(&view.proposal, self.digest)?;
        let req = ReviewRequest {
            digest: view.proposal.digest,
            approve: self.approve,
            note: self.note,
        };
        let view: ProposalView = self.api.post(&format!("{path}/review"), &req).await?;
        Output::data(self.api.json, &view, describe)
    }
}
