//! `sapphirecroft audit list`.

use bpaf::{Parser, construct, long};

use super::describe;
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::schema::config::AuditPage;

/// Which entries to list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    api: Api,
    after: Option<u64>,
    limit: usize,
}

pub(super) fn list() -> impl Parser<List> {
    let api = api();
    let after = long("after")
        .help("List entries after this position; the newest ones if absent")
        .argument::<u64>("SEQ")
        .optional();
    let limit = long("limit")
        .help("Most entries to list, 1 to 500")
        .argument::<usize>("COUNT")
        .fallback(50)
        .display_fallback();
    construct!(List { api, after, limit })
        .to_options()
        .descr("List changes in order")
        .command("list")
        .help("List changes in order")
}

impl List {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let mut path = format!("/audit?limit={}", self.limit);
        if let Some(after) = self.after {
            path.push_str(&format!("&after={after}"));
        }
        let page: AuditPage = self.api.get(&path).await?;
        Output::data(self.api.json, &page, |page| {
            let lines: Vec<String> = page.entries.iter().map(describe).collect();
            lines.join("\n")
        })
    }
}
