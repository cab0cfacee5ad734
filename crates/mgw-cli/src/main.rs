//! The `mgw` program: runs the command and prints its error, if any, to standard error.

use std::process::ExitCode;

use clap::Parser;
use mgw_cli::args::Args;
use mgw_cli::run_command;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run_command(Args::parse()).await {
        Ok(status) => status.into(),
        Err(error) => {
            let mut stderr = std::io::stderr().lock();
            let _ = std::io::Write::write_fmt(&mut stderr, format_args!("mgw: {error}\n"));
            error.exit_status().into()
        }
    }
}
