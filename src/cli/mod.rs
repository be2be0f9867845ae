//! The command line; each verb is a file with its options and what it does.

mod api;
mod audit;
mod bench;
mod bundle;
mod check;
mod command;
mod dev;
mod drain;
mod entry;
mod exit;
mod explain;
mod job;
mod key;
mod output;
mod secret_file;
mod serve;
mod view;

use std::process::ExitCode;

pub use command::{Command, options};
pub use exit::{CliError, Exit};
pub use output::Output;

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    let command = match options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            let code = failure.exit_code();
            return if code == 0 {
                ExitCode::SUCCESS
            } else {
                Exit::BadInput.into()
            };
        }
    };
    let mut builder = match command {
        // An entry VM has a quarter of a core, on which more threads only add switches.
        Command::Entry(_) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let result = builder
        .enable_all()
        .build()
        .map_err(|err| CliError::unreachable(format!("cannot start the runtime: {err}")))
        .and_then(|runtime| runtime.block_on(command.run()));
    match result {
        Ok(output) => {
            output.print();
            output.exit.into()
        }
        Err(err) => {
            eprintln!("{}", err.message);
            err.exit.into()
        }
    }
}

/// Width of help texts.
const HELP_COLUMNS: usize = 100;
