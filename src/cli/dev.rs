//! `sapphirecroft dev`: a whole site on loopback in one process.

use bpaf::{Parser, construct, long};

use super::{CliError, Exit, Output};
use crate::dev::{Installation, Site, run_check};
use crate::prelude::*;
use crate::schema::settings::{LogFormat, LogSettings};
use crate::telemetry::init_logs;

/// Entry processes of a development site.
const ENTRIES: usize = 6;

/// Options of a development site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dev {
    site: Site,
    check: bool,
    json: bool,
}

pub(super) fn dev() -> impl Parser<Dev> {
    let site = long("site")
        .help("Site to run: tulua or tran-hai")
        .argument::<Site>("SITE")
        .fallback(Site::Tulua);
    let check = long("check")
        .help("Drive a mixed load with faults through the site, verify the promises, then end")
        .switch();
    let json = long("json")
        .help("Print the result of the check as JSON")
        .switch();
    construct!(Dev { site, check, json })
        .to_options()
        .descr("Run a site with stand-ins of the platform and 6 entry processes on loopback")
        .command("dev")
        .help("Run a development site on loopback")
}

impl Dev {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let level = if self.check { "error" } else { "info" };
        init_logs(&LogSettings {
            format: LogFormat::Human,
            level: level.to_string(),
        });
        let failed = |err: DevError| CliError::unreachable(err.to_string());
        if self.check {
            let report = run_check(self.site).await.map_err(failed)?;
            let exit = if report.is_kept() {
                Exit::Done
            } else {
                Exit::Refused
            };
            return Ok(Output::data(self.json, &report, ToString::to_string)?.with_exit(exit));
        }
        let cancel = CancellationToken::new();
        let (workers, _) = self.site.workers();
        let installation = Installation::start(self.site, workers, ENTRIES, &cancel)
            .await
            .map_err(failed)?;
        println!("{}", installation.guide());
        tokio::signal::ctrl_c()
            .await
            .map_err(|err| CliError::unreachable(err.to_string()))?;
        Ok(Output::done("stopped"))
    }
}
