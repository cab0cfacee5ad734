//! The `mgw-load` program.

use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use mgw_contract::Outcome;
use mgw_load::arrivals::plan_arrivals;
use mgw_load::bound::fetch_bound;
use mgw_load::caller::{Caller, Progress};
use mgw_load::cli::{Cli, Command, RunArgs, read_settings};
use mgw_load::report::{Report, build_report};
use mgw_load::results::{RequestResult, Verdict};
use mgw_load::run::{build_call_spec, run};
use mgw_load::settings::{Settings, find_errors};
use mgw_serve::http::client;
use mgw_serve::start_logging;
use mgw_settings::LogSettings;
use mgw_standin::check::AnswerLine;
use tokio::time::Instant;

/// Exit code when some requests got no whole answer.
const NOT_ALL_WHOLE: u8 = 3;
/// Exit code when an answer was wrong.
const WRONG_ANSWER: u8 = 4;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (is_once, args) = match cli.command {
        Some(Command::Once(args)) => (true, args),
        None => (false, cli.run),
    };
    let json = args.json;
    let settings = match load_settings(args) {
        Ok(settings) => settings,
        Err(message) => return fail(&message),
    };
    start_logging(&LogSettings::default());
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let result = if is_once {
        runtime.block_on(run_once(settings))
    } else {
        runtime.block_on(run_experiment(settings, json))
    };
    result.unwrap_or_else(|error| fail(&error))
}

fn load_settings(args: RunArgs) -> Result<Settings, String> {
    let settings = read_settings(args).map_err(|findings| findings.to_string())?;
    let errors = find_errors(&settings);
    if errors.is_empty() {
        Ok(settings)
    } else {
        Err(errors.join("\n"))
    }
}

async fn run_experiment(settings: Settings, json: bool) -> io::Result<ExitCode> {
    let mut settings = settings;
    if settings.bound_tokens_per_s.is_none() {
        let client = client();
        let bound = fetch_bound(&client, &settings.entries, &settings.model);
        settings.bound_tokens_per_s = bound.await;
    }
    let settings = Arc::new(settings);
    let results = run(Arc::clone(&settings)).await;
    if let Some(path) = &settings.answers {
        write_answers(path, &results.requests)?;
    }
    let inject_errors = results.inject_errors.iter().map(ToString::to_string);
    let report = build_report(&settings, &results.requests, inject_errors.collect());
    let text = if json {
        serde_json::to_string_pretty(&report)?
    } else {
        report.to_string()
    };
    writeln!(io::stdout(), "{}", text.trim_end())?;
    Ok(exit_code_for(&report))
}

fn exit_code_for(report: &Report) -> ExitCode {
    if report.all.wrong > 0 {
        ExitCode::from(WRONG_ANSWER)
    } else if !report.inject_errors.is_empty() {
        ExitCode::FAILURE
    } else if report.all.whole < report.all.requests {
        ExitCode::from(NOT_ALL_WHOLE)
    } else {
        ExitCode::SUCCESS
    }
}

fn write_answers(path: &Path, results: &[RequestResult]) -> io::Result<()> {
    let mut text = Vec::new();
    let whole = results
        .iter()
        .filter(|result| result.verdict == Verdict::Whole);
    for result in whole {
        let Some(request) = result.id else {
            continue;
        };
        let line = AnswerLine {
            request,
            prompt_tokens: result.prompt_tokens,
            answer_tokens: u32::try_from(result.token_us.len()).unwrap_or(u32::MAX),
        };
        serde_json::to_writer(&mut text, &line)?;
        text.push(b'\n');
    }
    std::fs::write(path, text)
}

async fn run_once(settings: Settings) -> io::Result<ExitCode> {
    let settings = Settings {
        requests: Some(1),
        ..settings
    };
    let caller = Caller::new(client(), settings.entries.clone(), 0);
    let Some(arrival) = plan_arrivals(&settings).into_iter().next() else {
        return Ok(fail(
            &"no request is planned: the run or every workspace's load has no duration",
        ));
    };
    let spec = build_call_spec(&settings, &arrival, Instant::now());
    let mut progress = Progress::default();
    let mut stdout = io::stdout();
    let print = |text: &str| {
        let _ = write!(stdout, "{text}").and_then(|()| stdout.flush());
    };
    let verdict = caller.complete(&spec, &mut progress, print).await;
    writeln!(io::stdout())?;
    let message = progress.answer.final_answer.map(|answer| answer.message);
    tracing::info!(
        outcome = %verdict.outcome(),
        cause = verdict.cause(),
        message,
        sent = progress.sent,
        "request ended"
    );
    Ok(match &verdict {
        Verdict::Wrong { error } => {
            tracing::error!(fault = error, "received a wrong answer");
            ExitCode::from(WRONG_ANSWER)
        }
        verdict if verdict.outcome() == Outcome::Done => ExitCode::SUCCESS,
        _ => ExitCode::from(NOT_ALL_WHOLE),
    })
}

fn fail(error: &impl std::fmt::Display) -> ExitCode {
    let _ = writeln!(io::stderr(), "mgw-load: {error}");
    ExitCode::FAILURE
}
