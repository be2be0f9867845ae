//! `sapphirecroft entry`: the daemon of an entry VM on the users' platform.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};
use tokio::signal::unix::{SignalKind, signal};

use super::{CliError, Output};
use crate::entry::{EntryDaemon, boot_clock};
use crate::platform::{JsonFormat, KvClient, WorkerClient, read_settings};
use crate::prelude::*;
use crate::telemetry::init_json_logs;

/// Options of the daemon on the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    settings: PathBuf,
}

pub(super) fn entry() -> impl Parser<Entry> {
    let settings = long("settings")
        .short('s')
        .env("SAPPHIRECROFT_SETTINGS")
        .help("Settings file that the platform has written")
        .argument::<PathBuf>("FILE");
    construct!(Entry { settings })
        .to_options()
        .descr("Run the daemon on the platform until SIGTERM or SIGINT, then shut down gracefully")
        .command("entry")
        .help("Run the daemon of an entry VM on the platform")
}

impl Entry {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let failed = |err: std::io::Error| CliError::unreachable(err.to_string());
        let _logs = init_json_logs().map_err(failed)?;
        let cfg = read_settings(&self.settings).map_err(CliError::bad_input)?;
        let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
        let mut reload = signal(SignalKind::hangup()).map_err(failed)?;
        let store = Arc::new(KvClient::new(cfg.store.clone()));
        let workers = Arc::new(WorkerClient::new(cfg.advice.clone()));
        let daemon = EntryDaemon::start(
            cfg.clone(),
            store,
            workers,
            Arc::new(JsonFormat),
            boot_clock(),
        )
        .map_err(failed)?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => match read_settings(&self.settings) {
                    Ok(new) if new == cfg => tracing::info!("settings read again, unchanged"),
                    Ok(_) => tracing::warn!("settings have changed; addresses stay until the next start"),
                    Err(err) => tracing::error!(err, "settings cannot be read; the old ones stay"),
                },
            }
        }
        daemon.shutdown().await;
        Ok(Output::done(""))
    }
}
