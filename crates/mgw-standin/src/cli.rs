//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use mgw_settings::Findings;
use mgw_world::{LayerRange, Millis, TargetName};

use crate::settings::{Role, Settings};

const EXIT_CODES: &str = "Exit codes: 0 all well; 1 a check found a violation or the process \
could not start; 2 wrong usage; 70 the stand-in was told to die.";

/// Stands in for a model engine, a plain service or the weight store, and checks the journals of
/// what ran. Prints nothing to standard output but the report of a check.
#[derive(Debug, Parser)]
#[command(name = "mgw-standin", version, after_help = EXIT_CODES)]
pub struct Cli {
    /// What to do; without it the settings file says the role.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Settings of the stand-in.
    #[command(flatten)]
    pub run: RunArgs,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a stand-in for a model engine.
    Engine(RunArgs),
    /// Run a stand-in for a plain service.
    Plain(RunArgs),
    /// Run a stand-in for the weight store.
    Weights(RunArgs),
    /// Check that each token and layer ran once and in order, and each call at most once.
    CheckJournals(CheckArgs),
}

/// Settings given on the command line; they go before those of the file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Args)]
pub struct RunArgs {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Address to take calls at, such as 127.0.0.1:7101.
    #[arg(long, value_name = "ADDRESS")]
    pub listen: Option<SocketAddr>,
    /// Entry to announce to, such as `http://127.0.0.1:7001`; may be given many times.
    #[arg(long = "entry", value_name = "URL")]
    pub entries: Vec<String>,
    /// Name of the target.
    #[arg(long)]
    pub name: Option<String>,
    /// File to append the journal to.
    #[arg(long, value_name = "FILE")]
    pub journal: Option<PathBuf>,
    /// Layers that an engine holds, such as 0..8.
    #[arg(long, value_parser = parse_layers)]
    pub layers: Option<LayerRange>,
    /// Time that a call of a plain service takes, in milliseconds.
    #[arg(long, value_name = "MS")]
    pub slow: Option<u64>,
}

/// What to check.
#[derive(Debug, Clone, PartialEq, Eq, Args)]
pub struct CheckArgs {
    /// Journals of all stand-ins.
    #[arg(required = true, value_name = "FILE")]
    pub files: Vec<PathBuf>,
    /// File of whole answers, as written by `mgw-load --answers`.
    #[arg(long, value_name = "FILE")]
    pub answers: Option<PathBuf>,
    /// Print the report as JSON.
    #[arg(long)]
    pub json: bool,
}

fn parse_layers(text: &str) -> Result<LayerRange, String> {
    let help = "write FIRST..END, such as 0..8";
    let (first, end) = text.split_once("..").ok_or(help)?;
    let first = first.parse().map_err(|_| help)?;
    let end = end.parse().map_err(|_| help)?;
    LayerRange::new(first, end).map_err(|error| error.to_string())
}

/// Settings of the file and the command line together.
///
/// # Errors
/// All faults of the file.
pub fn read_settings(role: Option<Role>, args: RunArgs) -> Result<Settings, Findings> {
    let mut settings = match &args.config {
        Some(path) => mgw_settings::load(path)?,
        None => Settings::default(),
    };
    settings.role = role.unwrap_or(settings.role);
    settings.listen = args.listen.unwrap_or(settings.listen);
    if !args.entries.is_empty() {
        settings.entries = args.entries;
    }
    if let Some(name) = args.name {
        settings.name = TargetName::from(name);
    }
    settings.journal = args.journal.or(settings.journal);
    settings.engine.layers = args.layers.or(settings.engine.layers);
    if let Some(slow_ms) = args.slow {
        settings.plain.call_ms = Millis(slow_ms);
    }
    Ok(settings)
}
