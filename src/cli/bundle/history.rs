//! `sapphirecroft bundle history`.

use bpaf::{Parser, construct, long};

use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::config::HistoryEntry;

/// Which versions to list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    api: Api,
    from: Option<Version>,
    limit: usize,
}

pub(super) fn history() -> impl Parser<History> {
    let api = api();
    let from = long("from")
        .help("Newest version to list; the one in force if absent")
        .argument::<Version>("VERSION")
        .optional();
    let limit = long("limit")
        .help("Most versions to list, 1 to 100")
        .argument::<usize>("COUNT")
        .fallback(20)
        .display_fallback();
    construct!(History { api, from, limit })
        .to_options()
        .descr("List versions, newest first")
        .command("history")
        .help("List versions, newest first")
}

impl History {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let mut path = format!("/bundle/versions?limit={}", self.limit);
        if let Some(from) = self.from {
            path.push_str(&format!("&from={from}"));
        }
        let entries: Vec<HistoryEntry> = self.api.get(&path).await?;
        Output::data(self.api.json, &entries, |entries| {
            let lines: Vec<String> = entries.iter().map(describe_entry).collect();
            lines.join("\n")
        })
    }
}

fn describe_entry(entry: &HistoryEntry) -> String {
    format!(
        "{} at {}: proposed by {}, signed off by {}, rolled out by {}, digest {}",
        entry.version,
        entry.rolled_out_at,
        entry.proposer,
        entry.signer,
        entry.rolled_out_by,
        entry.digest
    )
}
