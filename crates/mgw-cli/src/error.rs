//! Errors and exit codes.

use std::process::ExitCode;

use mgw_settings::Findings;

/// Exit codes of `mgw`, as its help text lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did what it was asked.
    Success = 0,
    /// The configuration has faults.
    Invalid = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// Another change was accepted on the same base.
    Conflict = 3,
    /// Nobody answered; the outcome of a change is unknown and it may be sent again.
    Unreachable = 4,
    /// The change is accepted, but some entries don't have it yet.
    Lagging = 5,
    /// The request was refused.
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
        /// All faults.
        findings: Findings,
    },
    /// can't use {path}: {source}
    File {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// can't make the certificates: {message}
    Certificates {
        /// What the library said.
        message: String,
    },
    /// no answer from {url}: {message}; give other addresses with --at
    Unreachable {
        /// Last address tried.
        url: String,
        /// What the transport said.
        message: String,
    },
    /// refused with status {status}: {message}{help}
    Refused {
        /// HTTP status.
        status: u16,
        /// What went wrong.
        message: String,
        /// What to do about it.
        help: String,
    },
    /// {message}
    Usage {
        /// What is wrong with the arguments.
        message: String,
    },
    /// the answer can't be understood: {source}
    Answer {
        /// What the decoder said.
        source: serde_json::Error,
    },
}

impl CliError {
    /// The exit code that goes with the error.
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
