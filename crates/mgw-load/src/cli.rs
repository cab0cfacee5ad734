//! The command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use mgw_settings::Findings;
use mgw_world::{Millis, ModelName, ModelVersion, WorkspaceName};

use crate::settings::{Settings, Spacing, WorkspaceLoad};

const EXIT_CODES: &str = "Exit codes: 0 every answer was whole and right; 1 could not start, or a \
fault could not be injected; 2 wrong usage; 3 some requests got no whole answer, none a wrong one; \
4 at least one answer was wrong.";

/// Sends requests at their times, whatever became of the ones before, and measures what callers
/// see. Prints nothing to standard output but the report or the answer.
#[derive(Debug, Parser)]
#[command(name = "mgw-load", version, after_help = EXIT_CODES)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// What to do instead of a run.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Settings of a run.
    #[command(flatten)]
    pub run: RunArgs,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Send one request and print its answer as it comes.
    #[command(after_help = EXIT_CODES)]
    Once(RunArgs),
}

/// Settings given on the command line; they go before those of the experiment file.
#[derive(Debug, Clone, Default, PartialEq, Args)]
pub struct RunArgs {
    /// Experiment file in TOML.
    #[arg(long, value_name = "FILE")]
    pub experiment: Option<PathBuf>,
    /// Entry to ask for addresses; may be given many times.
    #[arg(long = "entry", value_name = "URL")]
    pub entries: Vec<String>,
    /// Requests a second.
    #[arg(long)]
    pub rate: Option<f64>,
    /// Spacing of arrivals.
    #[arg(long, value_enum)]
    pub spacing: Option<Spacing>,
    /// Span in which requests arrive, in seconds.
    #[arg(long)]
    pub duration_s: Option<u64>,
    /// Start of the span from which goodput is counted, in seconds.
    #[arg(long)]
    pub warmup_s: Option<u64>,
    /// Most requests.
    #[arg(long, value_name = "N")]
    pub requests: Option<u64>,
    /// Workspace and its requests a second; may be given many times.
    #[arg(long = "workspace", value_name = "NAME[=RATE]", value_parser = parse_workspace)]
    pub workspaces: Vec<WorkspaceArg>,
    /// Number of callers, each with addresses of its own.
    #[arg(long)]
    pub callers: Option<u32>,
    /// Most times that a request is sent.
    #[arg(long)]
    pub tries: Option<u32>,
    /// Time that a caller gives a request, in milliseconds.
    #[arg(long)]
    pub deadline_ms: Option<u64>,
    /// Tokens asked for.
    #[arg(long)]
    pub max_tokens: Option<u32>,
    /// Prompt of all requests; generated if there is none.
    #[arg(long)]
    pub prompt: Option<String>,
    /// Words of generated prompts.
    #[arg(long)]
    pub words: Option<u32>,
    /// Words that prompts of a group share at their start.
    #[arg(long)]
    pub shared_words: Option<u32>,
    /// Groups of prompts that share words.
    #[arg(long)]
    pub groups: Option<u32>,
    /// Seed of arrivals and prompts.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Compare each answer with the toy model's.
    #[arg(long)]
    pub verify: bool,
    /// Model to ask for.
    #[arg(long)]
    pub model: Option<String>,
    /// Version that answers are compared with.
    #[arg(long)]
    pub model_version: Option<String>,
    /// Layers of the model.
    #[arg(long)]
    pub model_layers: Option<u16>,
    /// Largest token rate that the placement allows; an entry is asked for it if not given.
    #[arg(long, value_name = "TOKENS_PER_S")]
    pub bound: Option<u64>,
    /// File to write whole answers to, for `mgw-standin check-journals --answers`.
    #[arg(long, value_name = "FILE")]
    pub answers: Option<PathBuf>,
    /// Folder of a local run, where the timeline finds processes and stand-ins by name.
    #[arg(long, value_name = "FOLDER")]
    pub run_folder: Option<PathBuf>,
    /// File with the number of a process that the timeline names; may be given many times.
    #[arg(long = "process", value_name = "NAME=FILE", value_parser = parse_pair)]
    pub processes: Vec<NamedValue>,
    /// Base URL of a stand-in that the timeline names; may be given many times.
    #[arg(long = "standin", value_name = "NAME=URL", value_parser = parse_pair)]
    pub standins: Vec<NamedValue>,
    /// Print the report as JSON.
    #[arg(long)]
    pub json: bool,
}

/// A workspace given on the command line.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceArg {
    /// Its name.
    pub name: WorkspaceName,
    /// Its rate; an equal share of `--rate` if not given.
    pub rate: Option<f64>,
}

/// A name and what it stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedValue {
    /// The name.
    pub name: String,
    /// What it stands for.
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
        .map_err(|_| format!("{rate} is not a number; write NAME=RATE"))?;
    Ok(WorkspaceArg {
        name: name.into(),
        rate: Some(rate),
    })
}

fn parse_pair(text: &str) -> Result<NamedValue, String> {
    let (name, value) = text.split_once('=').ok_or("write NAME=VALUE")?;
    Ok(NamedValue {
        name: name.to_owned(),
        value: value.to_owned(),
    })
}

macro_rules! override_settings {
    ($settings:ident, $args:ident: $($field:ident),+) => {
        $(if let Some(value) = $args.$field {
            $settings.$field = value;
        })+
    };
}

/// Settings of the experiment file and the command line together.
///
/// # Errors
/// All faults of the file.
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
        let file = PathBuf::from(process.value);
        settings.processes.insert(process.name, file);
    }
    for standin in args.standins {
        settings.standins.insert(standin.name, standin.value);
    }
    Ok(settings)
}

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
