//! `sapphirecroft drain | undrain`: takes workers and availability zones out of use.

use bpaf::{Parser, construct, long};
use serde_json::Value;

use super::api::{Api, api};
use super::view::human;
use super::{CliError, Output};
use crate::prelude::*;
use crate::schema::drain::{DrainRequest, DrainTarget};

/// What to drain, or whose drain to end.
#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    drained: bool,
    api: Api,
    target: DrainTarget,
}

pub(super) fn drain() -> impl Parser<Drain> {
    let drain = one(
        true,
        "drain",
        "Give a worker or availability zone no new work and empty it",
    );
    let undrain = one(
        false,
        "undrain",
        "Put a drained worker or availability zone back into use",
    );
    construct!([drain, undrain])
}

fn one(drained: bool, name: &'static str, help: &'static str) -> impl Parser<Drain> {
    let api = api();
    let worker = long("worker")
        .help("Worker, by the name of its VM")
        .argument::<VmId>("VM")
        .map(DrainTarget::Worker);
    let zone = long("zone")
        .help("Availability zone")
        .argument::<ZoneId>("ZONE")
        .map(DrainTarget::Zone);
    let target = construct!([worker, zone]);
    construct!(api, target)
        .map(move |(api, target)| Drain {
            drained,
            api,
            target,
        })
        .to_options()
        .descr(help)
        .command(name)
        .help(help)
}

impl Drain {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let req = DrainRequest {
            target: self.target,
            drained: self.drained,
        };
        let data: Value = self.api.post("/drain", &req).await?;
        Output::data(self.api.json, &data, human)
    }
}
