//! `sapphirecroft job list`.

use bpaf::{Parser, construct};

use super::{describe, filter};
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::schema::batch::{JobFilter, JobView};

/// Which jobs to list.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    api: Api,
    filter: JobFilter,
}

pub(super) fn list() -> impl Parser<List> {
    let (api, filter) = (api(), filter());
    construct!(List { api, filter })
        .to_options()
        .descr("List jobs by id, team or label; all if none is given")
        .command("list")
        .help("List jobs")
}

impl List {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let jobs: Vec<JobView> = self.api.post("/jobs/list", &self.filter).await?;
        Output::data(self.api.json, &jobs, |jobs| {
            jobs.iter().map(describe).collect::<Vec<_>>().join("\n")
        })
    }
}
