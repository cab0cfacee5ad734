//! Entry point of the program `mgw-control`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use mgw_control::{ControlSettings, run_control};

/// Holds masticgw's durable state: configuration, ledger and audit trail.
///
/// Exit codes: 0 after a graceful shutdown, 1 when the settings are wrong or the disk fails, 2 when
/// the arguments are wrong.
#[derive(Debug, Parser)]
#[command(name = "mgw-control", version)]
struct Args {
    /// Settings in TOML
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Found a new group with this control as its first voter; once in the life of the group
    #[arg(long)]
    found: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let settings: ControlSettings = match mgw_settings::load(&args.config) {
        Ok(settings) => settings,
        Err(findings) => return fail(&findings),
    };
    mgw_serve::start_logging(&settings.log);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run_control(settings, args.found)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    let mut stderr = std::io::stderr().lock();
    let _ = std::io::Write::write_fmt(&mut stderr, format_args!("mgw-control: {error}\n"));
    ExitCode::FAILURE
}
