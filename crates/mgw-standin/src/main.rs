//! Entry point of the program: runs a stand-in or checks journals.

use std::io::Write;
use std::process::ExitCode;

use clap::Parser;
use mgw_serve::{Shutdown, start_logging};
use mgw_standin::check::read_answers;
use mgw_standin::cli::{CheckArgs, Cli, Command, RunArgs, read_settings};
use mgw_standin::settings::Role;
use mgw_standin::{CheckSettings, check_journals, start};

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => run(None, cli.run),
        Some(Command::Engine(args)) => run(Some(Role::Engine), args),
        Some(Command::Plain(args)) => run(Some(Role::Plain), args),
        Some(Command::Weights(args)) => run(Some(Role::Weights), args),
        Some(Command::CheckJournals(args)) => check(&args),
    }
}

fn run(role: Option<Role>, args: RunArgs) -> ExitCode {
    let settings = match read_settings(role, args) {
        Ok(settings) => settings,
        Err(findings) => return fail(&findings),
    };
    start_logging(&settings.log);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let result = runtime.block_on(async {
        let shutdown = Shutdown::listen().map_err(|error| error.to_string())?;
        let running = start(settings).await.map_err(|error| error.to_string())?;
        let shutdown_requested = shutdown.graceful.clone();
        shutdown
            .unless_forced(running.run_until(shutdown_requested))
            .await;
        Ok::<_, String>(())
    });
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => fail(&message),
    }
}

fn check(args: &CheckArgs) -> ExitCode {
    let mut settings = CheckSettings::default();
    if let Some(path) = &args.answers {
        match read_answers(path) {
            Ok(answers) => settings.required_positions = answers,
            Err(error) => return fail(&error),
        }
    }
    let report = match check_journals(&args.files, &settings) {
        Ok(report) => report,
        Err(error) => return fail(&error),
    };
    let text = if args.json {
        serde_json::to_string_pretty(&report).unwrap_or_default()
    } else {
        report.to_string()
    };
    let _ = writeln!(std::io::stdout(), "{text}");
    if report.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn fail(error: &impl std::fmt::Display) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "mgw-standin: {error}");
    ExitCode::FAILURE
}
