//! `sapphirecroft bundle roll-out`.

use bpaf::{Parser, construct};

use super::proposal_id;
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::config::Release;

/// A proposal to put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollOut {
    api: Api,
    proposal: ProposalId,
}

pub(super) fn roll_out() -> impl Parser<RollOut> {
    let api = api();
    let proposal = proposal_id();
    construct!(RollOut { api, proposal })
        .to_options()
        .descr("Put a signed proposal in force; doing it again changes nothing")
        .command("roll-out")
        .help("Put a signed proposal in force")
}

impl RollOut {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let path = format!("/bundle/proposals/{}/roll-out", self.proposal);
        let release: Release = self.api.post(&path, &()).await?;
        Output::data(self.api.json, &release, |release| {
            format!(
                "version {} with digest {} is in force",
                release.version, release.digest
            )
        })
    }
}
