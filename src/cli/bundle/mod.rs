//! `sapphirecroft bundle`: the life cycle of the configuration bundle.

mod diff;
mod history;
mod propose;
mod review;
mod roll_back;
mod roll_out;
mod show;
mod sign_off;

use bpaf::{Parser, construct, long, positional};

use super::{CliError, Output};
use crate::prelude::*;
use crate::schema::config::{Proposal, ProposalView};

/// A verb on bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BundleVerb {
    /// Proposes a bundle.
    Propose(propose::Propose),
    /// Shows the bundle in force, a version or a proposal.
    Show(show::Show),
    /// Shows what changes in effect.
    Diff(diff::Diff),
    /// Gives a verdict on a proposal.
    Review(review::ReviewVerb),
    /// Signs a proposal off.
    SignOff(sign_off::SignOffVerb),
    /// Puts a signed proposal in force.
    RollOut(roll_out::RollOut),
    /// Proposes the content of an older version.
    RollBack(roll_back::RollBack),
    /// Lists versions.
    History(history::History),
}

pub(super) fn bundle() -> impl Parser<BundleVerb> {
    let propose = propose::propose().map(BundleVerb::Propose);
    let show = show::show().map(BundleVerb::Show);
    let diff = diff::diff().map(BundleVerb::Diff);
    let review = review::review().map(BundleVerb::Review);
    let sign_off = sign_off::sign_off().map(BundleVerb::SignOff);
    let roll_out = roll_out::roll_out().map(BundleVerb::RollOut);
    let roll_back = roll_back::roll_back().map(BundleVerb::RollBack);
    let history = history::history().map(BundleVerb::History);
    construct!([
        propose, show, diff, review, sign_off, roll_out, roll_back, history
    ])
    .to_options()
    .descr("Change the configuration bundle: propose, review, sign off, roll out")
    .command("bundle")
    .help("Change the configuration bundle")
}

impl BundleVerb {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        match self {
            Self::Propose(verb) => verb.run().await,
            Self::Show(verb) => verb.run().await,
            Self::Diff(verb) => verb.run().await,
            Self::Review(verb) => verb.run().await,
            Self::SignOff(verb) => verb.run().await,
            Self::RollOut(verb) => verb.run().await,
            Self::RollBack(verb) => verb.run().await,
            Self::History(verb) => verb.run().await,
        }
    }
}

fn proposal_id() -> impl Parser<ProposalId> {
    positional::<ProposalId>("PROPOSAL").help("Id of the proposal")
}

fn expected_digest() -> impl Parser<Option<Digest>> {
    long("digest")
        .help("Refuse if the proposal has another digest than this")
        .argument::<Digest>("SHA256")
        .optional()
}

/// Checks that a proposal's text is what its digest says, and what the operator expects.
fn check_digest(proposal: &Proposal, expected: Option<Digest>) -> Result<(), CliError> {
    let found = crate::bundle::digest_of(proposal.text.as_bytes());
    if found != proposal.digest || expected.is_some_and(|expected| expected != found) {
        return Err(CliError::refused(format!(
            "proposal {} has a text with digest {found}",
            proposal.id
        )));
    }
    Ok(())
}

fn describe(view: &ProposalView) -> String {
    let ProposalView {
        proposal,
        state,
        version,
        notes,
    } = view;
    let mut lines = vec![
        format!("proposal {} ({state})", proposal.id),
        format!("kind      {}", proposal.kind),
        format!("version   {version}, starting from {}", proposal.base),
        format!(
            "proposer  {} at {}",
            proposal.proposer, proposal.proposed_at
        ),
        format!("digest    {}", proposal.digest),
    ];
    for review in &proposal.reviews {
        let verdict = if review.approve {
            "approves"
        } else {
            "rejects"
        };
        lines.push(format!(
            "review    {} {verdict}: {}",
            review.reviewer, review.note
        ));
    }
    if let Some(sign_off) = &proposal.sign_off {
        lines.push(format!(
            "sign-off  {} with key {}",
            sign_off.signer, sign_off.key
        ));
    }
    for note in notes {
        lines.push(format!(
            "note      line {}: [{}] {}: {}",
            note.line, note.section, note.key, note.message
        ));
    }
    lines.join("\n")
}
