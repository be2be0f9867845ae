//! `sapphirecroft job submit`.

use bpaf::{Parser, construct, long};
use serde_json::Value;

use super::labels;
use crate::cli::api::{Api, api};
use crate::cli::view::human;
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::batch::JobSpec;

/// The job to submit.
#[derive(Clone, Debug, PartialEq)]
pub struct Submit {
    api: Api,
    spec: JobSpec,
}

pub(super) fn submit() -> impl Parser<Submit> {
    let (api, spec) = (api(), spec());
    construct!(Submit { api, spec })
        .to_options()
        .descr(
            "Submit a job; returns once it is durable. Repeating a submission with the same key \
             and team gives the same job",
        )
        .command("submit")
        .help("Submit a job")
}

fn spec() -> impl Parser<JobSpec> {
    let key = long("key").help("Submission key").argument::<String>("KEY");
    let team = long("team").help("Team").argument::<TeamId>("TEAM");
    let class = long("class")
        .help("Batch class of the bundle")
        .argument::<ClassName>("CLASS");
    let kind = long("kind")
        .help("Kind of task, for interference estimates")
        .argument::<String>("KIND");
    let tasks = long("tasks")
        .help("Number of tasks")
        .argument::<u32>("COUNT")
        .fallback(1);
    let run_time = long("run-time-ms")
        .help("Declared run time of a task, in milliseconds")
        .argument::<Millis>("MS");
    let can_checkpoint = long("checkpoint")
        .help("Tasks can save checkpoints")
        .switch();
    let zone_spread = long("zone-spread")
        .help("Fewest availability zones to spread running tasks over")
        .argument::<u32>("COUNT")
        .optional();
    let (labels, resources) = (labels(), resources());
    construct!(JobSpec {
        key,
        team,
        class,
        kind,
        tasks,
        run_time,
        can_checkpoint,
        zone_spread,
        labels,
        resources,
    })
}

fn resources() -> impl Parser<Resources> {
    let cpu = long("cpu-millicores")
        .help("Processor time of a task, in thousandths of a core")
        .argument::<Millicores>("COUNT");
    let memory = long("memory-mib")
        .help("Memory of a task, in MiB")
        .argument::<Mebibytes>("MIB");
    let accelerators = long("accelerators")
        .help("Accelerators of a task")
        .argument::<Accelerators>("COUNT")
        .fallback(Accelerators(0));
    construct!(Resources {
        cpu,
        memory,
        accelerators,
    })
}

impl Submit {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let data: Value = self.api.post("/jobs", &self.spec).await?;
        Output::data(self.api.json, &data, human)
    }
}
