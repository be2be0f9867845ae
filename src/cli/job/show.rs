//! `sapphirecroft job show`.

use bpaf::{Parser, construct, positional};

use super::describe;
use crate::cli::api::{Api, api};
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::batch::JobView;

/// Which job to show.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    api: Api,
    job: JobId,
}

pub(super) fn show() -> impl Parser<Show> {
    let api = api();
    let job = positional::<JobId>("JOB").help("Job id");
    construct!(Show { api, job })
        .to_options()
        .descr("Show a job with the reasons of parked tasks")
        .command("show")
        .help("Show a job")
}

impl Show {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let job: JobView = self.api.get(&format!("/jobs/{}", self.job)).await?;
        Output::data(self.api.json, &job, |job| {
            let reasons = job.reasons.iter().map(|reason| format!("  {reason}"));
            let lines: Vec<String> = std::iter::once(describe(job)).chain(reasons).collect();
            lines.join("\n")
        })
    }
}
