//! Command line arguments of `mgw`.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use mgw_world::{EntryName, KeyName, Revision, ServiceName, Subject, TargetName, WorkspaceName};

const EXIT_CODES: &str = "Exit codes:
  0  the command succeeded
  1  the configuration has faults; all are listed
  2  the arguments are wrong, or a file can't be read or written
  3  another change with the same base was accepted first; see `mgw config show`
  4  no address answered; a change may be sent again with the same --change-id
  5  the change is accepted, but some entries don't use it yet; they are listed
  6  the request was refused, its answer can't be decoded or certificates can't be created

Environment:
  MGW_AT        addresses as for --at, separated by commas
  MGW_OPERATOR  name as for --operator
  MGW_KEY_FILE  file as for --key-file";

/// The operators' command line of masticgw: configuration, audit trail, drains and the ledger.
#[derive(Debug, Clone, Parser)]
#[command(name = "mgw", version, after_help = EXIT_CODES)]
pub struct Args {
    /// Base URL of a control or an entry; several are tried in the given order
    #[arg(
        long,
        env = "MGW_AT",
        value_delimiter = ',',
        global = true,
        value_name = "URL"
    )]
    pub at: Vec<String>,
    /// Name of the operator, as listed in the configuration
    #[arg(long, env = "MGW_OPERATOR", global = true, value_name = "NAME")]
    pub operator: Option<String>,
    /// File that contains the operator's key
    #[arg(long, env = "MGW_KEY_FILE", global = true, value_name = "FILE")]
    pub key_file: Option<PathBuf>,
    /// Print JSON instead of text
    #[arg(long, global = true)]
    pub json: bool,
    /// Command to run
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
        /// Only this many of the newest records
        #[arg(long, default_value_t = 100)]
        last: usize,
    },
    /// List the entries
    Entries,
    /// List the targets
    Targets,
    /// List the rate limits that targets state
    Limits,
    /// Create the certificates and keys with which the processes authenticate each other
    GroupKeys {
        /// Folder for the files; an authority that it already contains is reused
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
    /// Show or lift the quarantine of parts of prompts and requests that end targets
    #[command(subcommand)]
    Quarantine(QuarantineCommand),
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
    /// Replace the configuration with a file
    Apply {
        /// Configuration in TOML
        file: PathBuf,
        /// Revision that the change is based on, as `mgw config show` prints it
        #[arg(long)]
        base: Revision,
        /// Id of the change; sending a change again with the same id has no further effect
        #[arg(long)]
        change_id: Option<String>,
        /// Wait until all live entries use the change, for at most this many seconds
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "10")]
        wait: Option<u64>,
    },
    /// Print the accepted configuration
    Show,
}

/// Commands on an entry.
#[derive(Debug, Clone, Subcommand)]
pub enum EntryCommand {
    /// Let an entry finish its requests and accept no new ones
    Drain {
        /// Name of the entry
        name: EntryName,
    },
    /// Cancel a drain
    Undrain {
        /// Name of the entry
        name: EntryName,
    },
}

/// Commands on a target.
#[derive(Debug, Clone, Subcommand)]
pub enum TargetCommand {
    /// Let a target finish its requests and send it no new ones
    Drain {
        /// Name of the target
        name: TargetName,
    },
    /// Cancel a drain
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
    /// Record whether a call whose outcome is unknown ran
    Resolve {
        /// Workspace of the caller
        workspace: WorkspaceName,
        /// Service that was called
        service: ServiceName,
        /// Idempotency key of the call
        key: KeyName,
        /// Whether the call ran, according to the service's own records
        #[arg(long, action = clap::ArgAction::Set)]
        ran: bool,
    },
}

/// Commands on the quarantine.
#[derive(Debug, Clone, Copy, Subcommand)]
pub enum QuarantineCommand {
    /// List the parts of prompts and the requests that are kept from targets, with the evidence
    List,
    /// Let requests with a part, or one request, reach targets again
    Lift {
        /// Digest of the part or the request in hexadecimal, as `mgw quarantine list` prints it
        subject: Subject,
    },
}
