//! Arguments of `mgw`.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use mgw_world::{EntryName, KeyName, Revision, ServiceName, TargetName, WorkspaceName};

const EXIT_CODES: &str = "Exit codes:
  0  the command did what it was asked
  1  the configuration has faults; all are listed
  2  the arguments are wrong
  3  another change was accepted on the same base; see `mgw config show`
  4  nobody answered; a change may be sent again with the same --change-id
  5  accepted, but some entries don't have the change yet; they are listed
  6  refused

Environment:
  MGW_AT        addresses as for --at, separated by commas
  MGW_OPERATOR  name as for --operator
  MGW_KEY_FILE  file as for --key-file";

/// Operates masticgw from text: configuration, audit trail, drains and the ledger.
#[derive(Debug, Clone, Parser)]
#[command(name = "mgw", version, after_help = EXIT_CODES)]
pub struct Args {
    /// Base URL of a control or an entry; tried in turn
    #[arg(
        long,
        env = "MGW_AT",
        value_delimiter = ',',
        global = true,
        value_name = "URL"
    )]
    pub at: Vec<String>,
    /// Your name as the configuration lists it
    #[arg(long, env = "MGW_OPERATOR", global = true, value_name = "NAME")]
    pub operator: Option<String>,
    /// File that holds your key
    #[arg(long, env = "MGW_KEY_FILE", global = true, value_name = "FILE")]
    pub key_file: Option<PathBuf>,
    /// Print JSON instead of text
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of `mgw`.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Show the state of the system as one process sees it
    Status,
    /// Check, change or show the configuration
    #[command(subcommand)]
    Config(ConfigCommand),
    /// List accepted and refused changes
    Audit {
        /// Only changes by this operator
        #[arg(long)]
        by: Option<String>,
        /// Only this action, such as `apply`
        #[arg(long)]
        action: Option<String>,
        /// Only refused changes
        #[arg(long)]
        refused: bool,
        /// Only the newest records
        #[arg(long, default_value_t = 100)]
        last: usize,
    },
    /// List the entries
    Entries,
    /// List the targets
    Targets,
    /// Make the files by which processes of the system prove to one another that they belong to it
    GroupKeys {
        /// Folder for the files; an authority that stands there already is used again
        folder: PathBuf,
        /// Names of the processes
        #[arg(required = true)]
        names: Vec<String>,
    },
    /// Operate one entry
    #[command(subcommand)]
    Entry(EntryCommand),
    /// Operate one target
    #[command(subcommand)]
    Target(TargetCommand),
    /// Show or resolve calls that run at most once
    #[command(subcommand)]
    Ledger(LedgerCommand),
}

/// Commands on the configuration.
#[derive(Debug, Clone, Subcommand)]
pub enum ConfigCommand {
    /// Check a file without sending it
    Check {
        /// Configuration in TOML
        file: PathBuf,
    },
    /// Make a file the configuration
    Apply {
        /// Configuration in TOML
        file: PathBuf,
        /// Revision that the change is based on, as `mgw config show` prints it
        #[arg(long)]
        base: Revision,
        /// Names the change, so that sending it again changes nothing
        #[arg(long)]
        change_id: Option<String>,
        /// Wait until all live entries have the change, at most this many seconds
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "10")]
        wait: Option<u64>,
    },
    /// Print the accepted configuration
    Show,
}

/// Commands on an entry.
#[derive(Debug, Clone, Subcommand)]
pub enum EntryCommand {
    /// Let an entry end its requests and take no new ones
    Drain {
        /// Name of the entry
        name: EntryName,
    },
    /// Take a drain back
    Undrain {
        /// Name of the entry
        name: EntryName,
    },
}

/// Commands on a target.
#[derive(Debug, Clone, Subcommand)]
pub enum TargetCommand {
    /// Let a target end its requests and get no new ones
    Drain {
        /// Name of the target
        name: TargetName,
    },
    /// Take a drain back
    Undrain {
        /// Name of the target
        name: TargetName,
    },
}

/// Commands on the ledger.
#[derive(Debug, Clone, Subcommand)]
pub enum LedgerCommand {
    /// List the claims
    Show {
        /// Only claims whose outcome is unknown
        #[arg(long)]
        unknown: bool,
    },
    /// Say what became of a call whose outcome is unknown
    Resolve {
        /// Workspace of the caller
        workspace: WorkspaceName,
        /// Service called
        service: ServiceName,
        /// Idempotency key
        key: KeyName,
        /// Whether the call ran, as the service's own records say
        #[arg(long, action = clap::ArgAction::Set)]
        ran: bool,
    },
}
