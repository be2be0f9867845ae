//! `sapphirecroft job cancel`.

use bpaf::{Parser, construct};

use super::filter;
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::batch::JobFilter;

/// Which jobs to cancel.
#[derive(Clone, Debug, PartialEq)]
pub struct Cancel {
    api: Api,
    filter: JobFilter,
}

pub(super) fn cancel() -> impl Parser<Cancel> {
    let (api, filter) = (api(), filter());
    construct!(Cancel { api, filter })
        .guard(
            |verb| selects(&verb.filter),
            "name a job, a team or a label",
        )
        .to_options()
        .descr("Cancel jobs by id, team or label; returns once the cancellation is durable")
        .command("cancel")
        .help("Cancel jobs")
}

/// Tells whether a filter names anything, so that a bare `cancel` never ends all jobs.
fn selects(filter: &JobFilter) -> bool {
    filter.job.is_some() || filter.team.is_some() || !filter.labels.is_empty()
}

impl Cancel {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let jobs: Vec<JobId> = self.api.post("/jobs/cancel", &self.filter).await?;
        Output::data(self.api.json, &jobs, |jobs| {
            jobs.iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n")
        })
    }
}
