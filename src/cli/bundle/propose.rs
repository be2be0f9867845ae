//! `sapphirecroft bundle propose`.

use std::fs;
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};

use super::describe;
use crate::bundle::parse_bundle;
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::config::{ProposalView, ProposeRequest};

/// A bundle to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Propose {
    api: Api,
    base: Option<Version>,
    file: PathBuf,
}

pub(super) fn propose() -> impl Parser<Propose> {
    let api = api();
    let base = long("base")
        .help("Version that the file was made from; refused if another one is in force")
        .argument::<Version>("VERSION")
        .optional();
    let file = positional::<PathBuf>("FILE").help("Bundle as INI file");
    construct!(Propose { api, base, file })
        .to_options()
        .descr("Propose a bundle for the next version")
        .command("propose")
        .help("Propose a bundle for the next version")
}

impl Propose {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let text = fs::read_to_string(&self.file).map_err(|err| {
            CliError::bad_input(format!("{} cannot be read: {err}", self.file.display()))
        })?;
        parse_bundle(&text).map_err(|faults| CliError::bad_input(faults.to_string()))?;
        let req = ProposeRequest {
            text,
            base: self.base,
        };
        let view: ProposalView = self.api.post("/bundle/proposals", &req).await?;
        Output::data(self.api.json, &view, describe)
    }
}
