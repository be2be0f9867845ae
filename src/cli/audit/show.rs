//! `sapphirecroft audit show`.

use bpaf::{Parser, construct, positional};

use super::describe;
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::schema::config::AuditEntry;

/// The entry to show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Show {
    api: Api,
    seq: u64,
}

pub(super) fn show() -> impl Parser<Show> {
    let api = api();
    let seq = positional::<u64>("SEQ").help("Position of the entry");
    construct!(Show { api, seq })
        .to_options()
        .descr("Show one change with its hashes")
        .command("show")
        .help("Show one change with its hashes")
}

impl Show {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let entry: AuditEntry = self.api.get(&format!("/audit/{}", self.seq)).await?;
        Output::data(self.api.json, &entry, |entry| {
            format!(
                "{}\nprevious  {}\nhash      {}",
                describe(entry),
                entry.previous,
                entry.hash
            )
        })
    }
}
