//! Errors and exit codes.

use std::process::ExitCode;

use mgw_settings::Findings;

/// Exit codes of `mgw`, as its help text lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The configuration has faults.
    Invalid = 1,
    /// The arguments are wrong, or a file can't be read or written.
    Usage = 2,
    /// Another change with the same base was accepted first.
    Conflict = 3,
    /// No address answered; the outcome of a change is unknown and it may be sent again.
    Unreachable = 4,
    /// The change is accepted, but some entries don't use it yet.
    Lagging = 5,
    /// The request was refused, its answer can't be decoded or certificates can't be created.
    Refused = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Why a command failed.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum CliError {
    /// the configuration has faults:\n{findings}
    Findings {
        /// All faults that were found.
        findings: Findings,
    },
    /// can't read or write {path}: {source}
    File {
        /// Path of the file or folder.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// can't create the certificates: {message}
    Certificates {
        /// Error of the certificate library.
        message: String,
    },
    /// no answer from {url}: {message}; give other addresses with --at
    Unreachable {
        /// Address that was tried last.
        url: String,
        /// Error of the HTTP client.
        message: String,
    },
    /// request refused with HTTP status {status}: {message}{help}
    Refused {
        /// HTTP status code.
        status: u16,
        /// Reason for the refusal.
        message: String,
        /// Advice on how to correct it, after `; `; may be empty.
        help: String,
    },
    /// {message}
    Usage {
        /// What is wrong with the arguments.
        message: String,
    },
    /// can't encode the request or decode the answer: {source}
    Answer {
        /// Error of the JSON encoder or decoder.
        source: serde_json::Error,
    },
}

impl CliError {
    /// Returns the exit code for the error.
    #[must_use]
    pub const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Findings { .. } => ExitStatus::Invalid,
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            Self::Usage { .. } | Self::File { .. } => ExitStatus::Usage,
            Self::Refused { .. } | Self::Answer { .. } | Self::Certificates { .. } => {
                ExitStatus::Refused
            }
        }
    }
}
