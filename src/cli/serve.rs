//! `sapphirecroft serve`: the daemon of an entry VM.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};
use tokio::signal::unix::{SignalKind, signal};

use super::{CliError, Output};
use crate::daemon::Daemon;
use crate::settings::load_settings;
use crate::telemetry::init_logs;

/// Options of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Serve {
    settings: PathBuf,
}

pub(super) fn serve() -> impl Parser<Serve> {
    let settings = long("settings")
        .short('s')
        .help("Settings file of this process")
        .argument::<PathBuf>("FILE");
    construct!(Serve { settings })
        .to_options()
        .descr("Run the daemon until SIGTERM or SIGINT, then shut down gracefully")
        .command("serve")
        .help("Run the daemon of an entry VM")
}

impl Serve {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let cfg = load_settings(&self.settings)
            .map_err(|faults| CliError::bad_input(faults.to_string()))?;
        init_logs(&cfg.log);
        let failed = |err: std::io::Error| CliError::unreachable(err.to_string());
        let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
        let daemon = Daemon::start(&cfg)
            .await
            .map_err(|err| CliError::unreachable(err.to_string()))?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tracing::info!(member = %daemon.member(), "shutting down");
        daemon.shutdown().await;
        Ok(Output::done(""))
    }
}
