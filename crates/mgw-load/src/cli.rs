//! Command line arguments, and their combination with an experiment file.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use mgw_settings::Findings;
use mgw_world::{Millis, ModelName, ModelVersion, WorkspaceName};

use crate::settings::{Settings, Spacing, WorkspaceLoad};

const EXIT_CODES: &str = "Exit codes: 0 every answer was whole and right; 1 could not start, or a \
fault could not be injected; 2 wrong usage; 3 some requests got no whole answer, none a wrong one; \
4 at least one answer was wrong.";

/// Sends requests at planned times, whether or not earlier ones have ended, and measures what
/// callers see. Prints only the report or the answer to standard output.
#[derive(Debug, Parser)]
#[command(name = "mgw-load", version, after_help = EXIT_CODES)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// Command to run instead of an experiment.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Settings of the experiment.
    #[command(flatten)]
    pub run: RunArgs,
}

/// Subcommands of `mgw-load`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Send one request and print its answer as it arrives.
    #[command(after_help = EXIT_CODES)]
    Once(RunArgs),
}

/// Settings given on the command line; they override those of the experiment file.
#[derive(Debug, Clone, Default, PartialEq, Args)]
pub struct RunArgs {
    /// Experiment file in TOML.
    #[arg(long, value_name = "FILE")]
    pub experiment: Option<PathBuf>,
    /// Entry to ask for addresses; may be repeated.
    #[arg(long = "entry", value_name = "URL")]
    pub entries: Vec<String>,
    /// Requests per second.
    #[arg(long)]
    pub rate: Option<f64>,
    /// Distribution of the times between arrivals.
    #[arg(long, value_enum)]
    pub spacing: Option<Spacing>,
    /// Time during which requests arrive, in seconds.
    #[arg(long)]
    pub duration_s: Option<u64>,
    /// Warm-up in seconds; tokens received during it don't count as goodput.
    #[arg(long)]
    pub warmup_s: Option<u64>,
    /// Maximum number of requests.
    #[arg(long, value_name = "N")]
    pub requests: Option<u64>,
    /// Workspace and its requests per second; may be repeated.
    #[arg(long = "workspace", value_name = "NAME[=RATE]", value_parser = parse_workspace)]
    pub workspaces: Vec<WorkspaceArg>,
    /// Number of callers, each with its own entry addresses.
    #[arg(long)]
    pub callers: Option<u32>,
    /// Maximum number of times that a request is sent.
    #[arg(long)]
    pub tries: Option<u32>,
    /// Deadline of a request, counted from its planned arrival, in milliseconds.
    #[arg(long)]
    pub deadline_ms: Option<u64>,
    /// Number of tokens that each request asks for.
    #[arg(long)]
    pub max_tokens: Option<u32>,
    /// Prompt of all requests; if not given, prompts are generated.
    #[arg(long)]
    pub prompt: Option<String>,
    /// Number of words of a generated prompt.
    #[arg(long)]
    pub words: Option<u32>,
    /// Number of words at the start of a prompt that all prompts of a group share.
    #[arg(long)]
    pub shared_words: Option<u32>,
    /// Number of groups of prompts that share words.
    #[arg(long)]
    pub groups: Option<u32>,
    /// Seed of the random arrivals and prompts.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Compare each answer with the reference answer of the toy model.
    #[arg(long)]
    pub verify: bool,
    /// Model that requests ask for.
    #[arg(long)]
    pub model: Option<String>,
    /// Model version that the reference answers are computed for.
    #[arg(long)]
    pub model_version: Option<String>,
    /// Number of layers of the model.
    #[arg(long)]
    pub model_layers: Option<u16>,
    /// Throughput bound: the largest token rate that the placement allows. If not given, it is
    /// fetched from an entry.
    #[arg(long, value_name = "TOKENS_PER_S")]
    pub bound: Option<u64>,
    /// File to write whole answers to, for `mgw-standin check-journals --answers`.
    #[arg(long, value_name = "FILE")]
    pub answers: Option<PathBuf>,
    /// Folder of a local run, with NAME.pid for each process and NAME.toml for each stand-in that
    /// the timeline names.
    #[arg(long, value_name = "FOLDER")]
    pub run_folder: Option<PathBuf>,
    /// Process id file of a process that the timeline names; may be repeated.
    #[arg(long = "process", value_name = "NAME=FILE", value_parser = parse_pair)]
    pub processes: Vec<NamedValue>,
    /// Base URL of a stand-in that the timeline names; may be repeated.
    #[arg(long = "standin", value_name = "NAME=URL", value_parser = parse_pair)]
    pub standins: Vec<NamedValue>,
    /// Print the report as JSON.
    #[arg(long)]
    pub json: bool,
}

/// A `--workspace` argument.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceArg {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Requests per second; an equal share of `--rate` if not given.
    pub rate: Option<f64>,
}

/// A `NAME=VALUE` argument.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedValue {
    /// Text before the first `=`.
    pub name: String,
    /// Text after the first `=`.
    pub value: String,
}

fn parse_workspace(text: &str) -> Result<WorkspaceArg, String> {
    let Some((name, rate)) = text.split_once('=') else {
        return Ok(WorkspaceArg {
            name: text.into(),
            rate: None,
        });
    };
    let rate = rate
        .parse()
        .map_err(|_| format!("rate {rate:?} is not a number; expected NAME=RATE"))?;
    Ok(WorkspaceArg {
        name: name.into(),
        rate: Some(rate),
    })
}

fn parse_pair(text: &str) -> Result<NamedValue, String> {
    let (name, value) = text.split_once('=').ok_or("expected NAME=VALUE")?;
    Ok(NamedValue {
        name: name.to_owned(),
        value: value.to_owned(),
    })
}

/// Overwrites each listed setting with the command line argument of the same name, if given.
macro_rules! override_settings {
    ($settings:ident, $args:ident: $($field:ident),+) => {
        $(if let Some(value) = $args.$field {
            $settings.$field = value;
        })+
    };
}

/// Reads the experiment file, if any, and applies the command line arguments over it.
///
/// # Errors
/// Returns every finding about the file.
pub fn read_settings(args: RunArgs) -> Result<Settings, Findings> {
    let mut settings: Settings = match &args.experiment {
        Some(path) => mgw_settings::load(path)?,
        None => Settings::default(),
    };
    override_settings!(settings, args: rate, spacing, callers, tries, max_tokens, seed, model_layers);
    if !args.entries.is_empty() {
        settings.entries = args.entries;
    }
    if let Some(duration_s) = args.duration_s {
        settings.duration_ms = Millis(1000).times(duration_s);
    }
    if let Some(warmup_s) = args.warmup_s {
        settings.warmup_ms = Millis(1000).times(warmup_s);
    }
    if let Some(deadline_ms) = args.deadline_ms {
        settings.deadline_ms = Millis(deadline_ms);
    }
    settings.requests = args.requests.or(settings.requests);
    settings.prompt = args.prompt.or(settings.prompt);
    settings.run_folder = args.run_folder.or(settings.run_folder);
    settings.answers = args.answers.or(settings.answers);
    settings.bound_tokens_per_s = args.bound.or(settings.bound_tokens_per_s);
    settings.verify |= args.verify;
    settings.model = args.model.map_or(settings.model, ModelName::from);
    settings.model_version = args
        .model_version
        .map_or(settings.model_version, ModelVersion::from);
    let prompts = &mut settings.prompts;
    prompts.words = args.words.unwrap_or(prompts.words);
    prompts.shared_words = args.shared_words.unwrap_or(prompts.shared_words);
    prompts.groups = args.groups.unwrap_or(prompts.groups);
    if !args.workspaces.is_empty() {
        settings.workspaces = share_rate(&args.workspaces, settings.rate);
    }
    for process in args.processes {
        let pid_file = PathBuf::from(process.value);
        settings.processes.insert(process.name, pid_file);
    }
    for standin in args.standins {
        settings.standins.insert(standin.name, standin.value);
    }
    Ok(settings)
}

/// Builds the loads of the workspaces. Each one without a rate gets `rate` divided by the number of
/// workspaces without a rate.
fn share_rate(workspaces: &[WorkspaceArg], rate: f64) -> Vec<WorkspaceLoad> {
    let without_rate = workspaces.iter().filter(|arg| arg.rate.is_none()).count();
    let share = rate / without_rate.max(1) as f64;
    let loads = workspaces.iter().map(|arg| WorkspaceLoad {
        name: arg.name.clone(),
        rate: arg.rate.unwrap_or(share),
        ..WorkspaceLoad::default()
    });
    loads.collect()
}
