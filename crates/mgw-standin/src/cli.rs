//! Command line arguments and their combination with the settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use mgw_settings::Findings;
use mgw_world::{LayerRange, Millis, TargetName};

use crate::settings::{Role, Settings};

const EXIT_CODES: &str = "Exit codes: 0 success; 1 a check found a violation or the process \
could not start; 2 wrong usage; 70 the fault `die_after_steps` was reached or the \
journal could not be written.";

/// Stands in for a model engine, a plain service or the weight store, or checks the journals that
/// stand-ins wrote. Standard output carries only the report of a check.
#[derive(Debug, Parser)]
#[command(name = "mgw-standin", version, after_help = EXIT_CODES)]
pub struct Cli {
    /// Subcommand; without one the settings file determines the role.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Arguments for a run without a subcommand.
    #[command(flatten)]
    pub run: RunArgs,
}

/// Subcommands: one for each role, and the journal check.
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

/// Settings given on the command line; they override those of the file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Args)]
pub struct RunArgs {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Address to listen on, such as 127.0.0.1:7101.
    #[arg(long, value_name = "ADDRESS")]
    pub listen: Option<SocketAddr>,
    /// Entry to announce to, such as `http://127.0.0.1:7001`; may be repeated.
    #[arg(long = "entry", value_name = "URL")]
    pub entries: Vec<String>,
    /// Name of the target that is announced.
    #[arg(long)]
    pub name: Option<String>,
    /// File to append the journal to.
    #[arg(long, value_name = "FILE")]
    pub journal: Option<PathBuf>,
    /// Layers that an engine has loaded at the start, such as 0..8.
    #[arg(long, value_parser = parse_layers)]
    pub layers: Option<LayerRange>,
    /// Duration of a call to a plain service, in milliseconds.
    #[arg(long, value_name = "MS")]
    pub slow: Option<u64>,
}

/// Arguments of the journal check.
#[derive(Debug, Clone, PartialEq, Eq, Args)]
pub struct CheckArgs {
    /// Journal files of all stand-ins of a run.
    #[arg(required = true, value_name = "FILE")]
    pub files: Vec<PathBuf>,
    /// File of complete answers, as written by `mgw-load --answers`.
    #[arg(long, value_name = "FILE")]
    pub answers: Option<PathBuf>,
    /// Print the report as JSON.
    #[arg(long)]
    pub json: bool,
}

fn parse_layers(text: &str) -> Result<LayerRange, String> {
    let expected = "expected FIRST..END, such as 0..8";
    let (first, end) = text.split_once("..").ok_or(expected)?;
    let first = first.parse().map_err(|_| expected)?;
    let end = end.parse().map_err(|_| expected)?;
    LayerRange::new(first, end).map_err(|error| error.to_string())
}

/// Reads the settings file, if one is named, and applies the command line to it.
///
/// # Errors
/// All errors found in the file.
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
