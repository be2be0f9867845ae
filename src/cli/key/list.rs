//! `sapphirecroft key list`.

use bpaf::{Parser, construct};

use super::ring::describe;
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::schema::config::RingView;

/// Lists operators and keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    api: Api,
}

pub(super) fn list() -> impl Parser<List> {
    let api = api();
    construct!(List { api })
        .to_options()
        .descr("List operators with roles, teams and keys")
        .command("list")
        .help("List operators with roles, teams and keys")
}

impl List {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let view: RingView = self.api.get("/keys").await?;
        Output::data(self.api.json, &view, describe)
    }
}
