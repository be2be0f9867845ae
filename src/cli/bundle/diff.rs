//! `sapphirecroft bundle diff`.

use bpaf::{Parser, construct, long};

use super::proposal_id;
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::config::{Change, DiffView};

/// What to compare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diff {
    api: Api,
    subject: Subject,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Subject {
    Proposal(ProposalId),
    Versions(Version, Version),
}

pub(super) fn diff() -> impl Parser<Diff> {
    let api = api();
    let proposal = proposal_id().map(Subject::Proposal);
    let from = long("from")
        .help("Older version; 0 stands for no bundle")
        .argument::<Version>("VERSION");
    let to = long("to")
        .help("Newer version")
        .argument::<Version>("VERSION");
    let versions = construct!(from, to).map(|(from, to)| Subject::Versions(from, to));
    let subject = construct!([versions, proposal]);
    construct!(Diff { api, subject })
        .to_options()
        .descr("Show which values change in effect; order, comments and explicit defaults do not")
        .command("diff")
        .help("Show what a proposal or a version changes in effect")
}

impl Diff {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let path = match &self.subject {
            Subject::Proposal(id) => format!("/bundle/proposals/{id}/diff"),
            Subject::Versions(from, to) => format!("/bundle/versions/{to}/diff?from={from}"),
        };
        let view: DiffView = self.api.get(&path).await?;
        Output::data(self.api.json, &view, describe_diff)
    }
}

fn describe_diff(view: &DiffView) -> String {
    let mut lines = vec![format!("from version {} to {}", view.from, view.to)];
    if view.changes.is_empty() {
        lines.push("nothing changes in effect".to_string());
    }
    lines.extend(view.changes.iter().map(describe_change));
    lines.join("\n")
}

fn describe_change(change: &Change) -> String {
    let place = format!("[{}] {}", change.section, change.key);
    match (&change.old, &change.new) {
        (Some(old), Some(new)) => format!("{place}: {old} -> {new}"),
        (None, Some(new)) => format!("{place}: added {new}"),
        (Some(old), None) => format!("{place}: removed {old}"),
        (None, None) => place,
    }
}
