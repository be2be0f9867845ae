//! `sapphirecroft job`: batch jobs.

mod cancel;
mod list;
mod show;
mod submit;

use std::collections::BTreeMap;

use bpaf::{Parser, construct, long};

use super::{CliError, Output};
use crate::prelude::*;
use crate::schema::batch::{JobFilter, JobView};

/// A verb on jobs.
#[derive(Clone, Debug, PartialEq)]
pub enum JobVerb {
    /// Submits a job.
    Submit(Box<submit::Submit>),
    /// Shows a job.
    Show(show::Show),
    /// Lists jobs.
    List(list::List),
    /// Cancels jobs.
    Cancel(cancel::Cancel),
}

pub(super) fn job() -> impl Parser<JobVerb> {
    let submit = submit::submit().map(|verb| JobVerb::Submit(Box::new(verb)));
    let show = show::show().map(JobVerb::Show);
    let list = list::list().map(JobVerb::List);
    let cancel = cancel::cancel().map(JobVerb::Cancel);
    construct!([submit, show, list, cancel])
        .to_options()
        .descr("Submit, show, list and cancel batch jobs")
        .command("job")
        .help("Submit, show, list and cancel batch jobs")
}

impl JobVerb {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        match self {
            Self::Submit(verb) => verb.run().await,
            Self::Show(verb) => verb.run().await,
            Self::List(verb) => verb.run().await,
            Self::Cancel(verb) => verb.run().await,
        }
    }
}

/// Options that select jobs.
fn filter() -> impl Parser<JobFilter> {
    let job = long("job")
        .help("Job id")
        .argument::<JobId>("JOB")
        .optional();
    let team = long("team")
        .help("Team")
        .argument::<TeamId>("TEAM")
        .optional();
    let labels = labels();
    construct!(JobFilter { job, team, labels })
}

/// Options `--label KEY=VALUE`.
fn labels() -> impl Parser<BTreeMap<String, String>> {
    long("label")
        .help("Label of the job")
        .argument::<String>("KEY=VALUE")
        .parse(|text| match text.split_once('=') {
            Some((key, value)) if !key.is_empty() => Ok((key.to_string(), value.to_string())),
            _ => Err(format!("label {text:?} is not of the form KEY=VALUE")),
        })
        .many()
        .map(|labels| labels.into_iter().collect())
}

/// Describes a job in one line.
fn describe(job: &JobView) -> String {
    let line = format!(
        "{}  {}  team {}  class {}  pending {}  assigned {}  done {}  parked {}  cancelled {}",
        job.id,
        job.phase,
        job.spec.team,
        job.spec.class,
        job.pending,
        job.assigned,
        job.done,
        job.parked,
        job.cancelled
    );
    if job.reason.is_empty() {
        line
    } else {
        format!("{line}  {}", job.reason)
    }
}
