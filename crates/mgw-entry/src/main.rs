//! The program `mgw-entry`: reads its arguments and settings and runs an entry.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use mgw_entry::{EntrySettings, run_entry};

/// Serves masticgw's callers and targets: addresses, completions and plain services.
///
/// Exit codes: 0 after a graceful shutdown, 1 when the settings are wrong or an address is in use,
/// 2 when the arguments are wrong.
#[derive(Debug, Parser)]
#[command(name = "mgw-entry", version)]
struct Args {
    /// File with the settings in TOML
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let settings: EntrySettings = match mgw_settings::load(&args.config) {
        Ok(settings) => settings,
        Err(findings) => return fail(&findings),
    };
    mgw_serve::start_logging(&settings.log);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run_entry(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

/// Prints an error to stderr and returns the exit code for it.
fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    let mut stderr = std::io::stderr().lock();
    let _ = std::io::Write::write_fmt(&mut stderr, format_args!("mgw-entry: {error}\n"));
    ExitCode::FAILURE
}
