//! `sapphirecroft bench`: measurements for the pages of figures.

use std::fmt::Display;

use bpaf::{Parser, construct, long};
use serde::Serialize;

use super::{CliError, Output};
use crate::bench::{run_control, run_leader, run_path, run_placement, run_requests};

/// What to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Requests,
    Placement,
    Control,
    Path,
    Leader,
}

/// Options of a measurement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bench {
    subject: Subject,
    seed: u64,
    json: bool,
}

pub(super) fn bench() -> impl Parser<Bench> {
    let requests = one(
        Subject::Requests,
        "requests",
        "Tail latency under load against other policies, in virtual time",
    );
    let placement = one(
        Subject::Placement,
        "placement",
        "Cost of placement decisions, and batch work beside services, in virtual time",
    );
    let control = one(
        Subject::Control,
        "control",
        "Traffic, processor time and state of the control plane",
    );
    let path = one(
        Subject::Path,
        "path",
        "Added latency and processor time of the request path over loopback",
    );
    let leader = one(
        Subject::Leader,
        "leader",
        "Processor time of the platform leader's decisions by size of the fleet",
    );
    construct!([requests, placement, control, path, leader])
        .to_options()
        .descr("Measure; use a release build")
        .command("bench")
        .help("Measure policies and costs")
}

fn one(subject: Subject, name: &'static str, help: &'static str) -> impl Parser<Bench> {
    let seed = long("seed")
        .help("Seed of the simulated load")
        .argument::<u64>("SEED")
        .fallback(1)
        .display_fallback();
    let json = long("json").help("Print the figures as JSON").switch();
    construct!(seed, json)
        .map(move |(seed, json)| Bench {
            subject,
            seed,
            json,
        })
        .to_options()
        .descr(help)
        .command(name)
        .help(help)
}

impl Bench {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        match self.subject {
            Subject::Requests => self.blocking(run_requests).await,
            Subject::Placement => self.blocking(run_placement).await,
            Subject::Control => self.blocking(run_control).await,
            Subject::Leader => self.blocking(run_leader).await,
            Subject::Path => {
                let report = run_path()
                    .await
                    .map_err(|err| CliError::unreachable(err.to_string()))?;
                self.output(&report)
            }
        }
    }

    async fn blocking<R>(&self, measure: fn(u64) -> R) -> Result<Output, CliError>
    where
        R: Serialize + Display + Send + 'static,
    {
        let seed = self.seed;
        let report = tokio::task::spawn_blocking(move || measure(seed))
            .await
            .map_err(|err| CliError::unreachable(err.to_string()))?;
        self.output(&report)
    }

    fn output<R: Serialize + Display>(&self, report: &R) -> Result<Output, CliError> {
        Output::data(self.json, report, ToString::to_string)
    }
}
