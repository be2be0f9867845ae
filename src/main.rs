//! The `sapphirecroft` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    sapphirecroft::cli::main()
}
