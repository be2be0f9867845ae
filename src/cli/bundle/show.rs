//! `sapphirecroft bundle show`.

use bpaf::{Parser, construct, long};

use super::describe;
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::config::{CurrentView, ProposalView, Release};

/// What to show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Show {
    api: Api,
    version: Option<Version>,
    proposal: Option<ProposalId>,
    proposals: bool,
}

pub(super) fn show() -> impl Parser<Show> {
    let api = api();
    let version = long("version")
        .help("Show this version instead of the one in force")
        .argument::<Version>("VERSION")
        .optional();
    let proposal = long("proposal")
        .help("Show this proposal")
        .argument::<ProposalId>("PROPOSAL")
        .optional();
    let proposals = long("proposals")
        .help("List the proposals for the next version")
        .switch();
    construct!(Show {
        api,
        version,
        proposal,
        proposals
    })
    .to_options()
    .descr("Show the bundle in force, another version, or proposals")
    .command("show")
    .help("Show the bundle in force, another version, or proposals")
}

impl Show {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let json = self.api.json;
        if self.proposals {
            let views: Vec<ProposalView> = self.api.get("/bundle/proposals").await?;
            return Output::data(json, &views, |views| {
                let texts: Vec<String> = views.iter().map(describe).collect();
                texts.join("\n\n")
            });
        }
        if let Some(id) = &self.proposal {
            let view: ProposalView = self.api.get(&format!("/bundle/proposals/{id}")).await?;
            return Output::data(json, &view, |view| {
                format!("{}\n\n{}", describe(view), view.proposal.text)
            });
        }
        if let Some(version) = self.version {
            let path = format!("/bundle/versions/{version}");
            let release: Release = self.api.get(&path).await?;
            return Output::data(json, &release, describe_release);
        }
        let current: CurrentView = self.api.get("/bundle").await?;
        Output::data(json, &current, |current| {
            current.release.as_ref().map_or_else(
                || "no bundle has been rolled out".to_string(),
                describe_release,
            )
        })
    }
}

fn describe_release(release: &Release) -> String {
    [
        format!("; version {} of site {}", release.version, release.site),
        format!("; digest {}", release.digest),
        format!("; proposed by {}", release.proposer),
        format!(
            "; signed off by {} with key {}",
            release.sign_off.signer, release.sign_off.key
        ),
        format!(
            "; rolled out by {} at {}",
            release.rolled_out_by, release.rolled_out_at
        ),
        release.text.trim_end().to_string(),
    ]
    .join("\n")
}
