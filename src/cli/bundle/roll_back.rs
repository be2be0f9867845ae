//! `sapphirecroft bundle roll-back`.

use bpaf::{Parser, construct, long};

use super::describe;
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::config::{ProposalView, RollBackRequest};

/// An older version whose content comes back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollBack {
    api: Api,
    to: Version,
}

pub(super) fn roll_back() -> impl Parser<RollBack> {
    let api = api();
    let to = long("to")
        .help("Version whose content comes back")
        .argument::<Version>("VERSION");
    construct!(RollBack { api, to })
        .to_options()
        .descr(
            "Propose the content of an older version as the next one; it needs no review, but \
             sign-off by somebody else and roll-out",
        )
        .command("roll-back")
        .help("Propose the content of an older version")
}

impl RollBack {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let req = RollBackRequest { to: self.to };
        let view: ProposalView = self.api.post("/bundle/roll-back", &req).await?;
        Output::data(self.api.json, &view, describe)
    }
}
