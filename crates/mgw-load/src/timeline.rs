//! Injection of the faults of a run's timeline, each at its time.

use std::path::{Path, PathBuf};

use hyper::header::CONTENT_TYPE;
use hyper::{Request, StatusCode};
use mgw_serve::http::{HttpClient, full};
use mgw_standin::{FAULT_PATH, Fault};
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep_until};

use crate::settings::{Action, Settings, SignalName, TimelineEvent};

/// Why a fault couldn't be injected.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum InjectError {
    /// no process id above 1 in {file}; write it there when the process starts
    NoPid {
        /// The file, or the name of the process if no file is known for it.
        file: PathBuf,
    },
    /// can't send a signal to process {pid}: {source}
    Signal {
        /// Process id.
        pid: i32,
        /// Error of the system call.
        source: rustix::io::Errno,
    },
    /// the stand-in at {url} can't be reached or refused the fault
    Refused {
        /// Base URL of the stand-in.
        url: String,
    },
}

/// Injects all faults of the timeline; errors are logged and returned.
pub async fn inject_faults(
    settings: &Settings,
    client: &HttpClient,
    start: Instant,
) -> Vec<InjectError> {
    let mut events: Vec<&TimelineEvent> = settings.timeline.iter().collect();
    events.sort_by_key(|event| event.at_ms);
    let mut errors = Vec::new();
    for event in events {
        sleep_until(start + event.at_ms.to_duration()).await;
        let injected = match &event.action {
            Action::Fault { standin, change } => {
                let url = settings.standin_url(standin);
                post_fault(client, &url, *change).await
            }
            Action::Signal { process, signal } => match settings.pid_file(process) {
                Some(file) => send_signal(&file, *signal),
                None => Err(InjectError::NoPid {
                    file: PathBuf::from(process),
                }),
            },
        };
        match injected {
            Ok(()) => tracing::info!(at_ms = event.at_ms.0, action = ?event.action, "injected"),
            Err(error) => {
                tracing::error!(%error, "fault could not be injected");
                errors.push(error);
            }
        }
    }
    errors
}

async fn post_fault(client: &HttpClient, url: &str, change: Fault) -> Result<(), InjectError> {
    let refused = || InjectError::Refused {
        url: url.to_owned(),
    };
    let body = serde_json::to_vec(&change).map_err(|_| refused())?;
    let request = Request::post(format!("{url}{FAULT_PATH}"))
        .header(CONTENT_TYPE, "application/json")
        .body(full(body))
        .map_err(|_| refused())?;
    let response = client.request(request).await.map_err(|_| refused())?;
    if response.status() == StatusCode::OK {
        Ok(())
    } else {
        Err(refused())
    }
}

fn send_signal(file: &Path, name: SignalName) -> Result<(), InjectError> {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let number = text.trim().parse::<i32>().ok();
    let pid = number.filter(|number| *number > 1).and_then(Pid::from_raw);
    let pid = pid.ok_or_else(|| InjectError::NoPid {
        file: file.to_path_buf(),
    })?;
    let signal = match name {
        SignalName::Term => Signal::TERM,
        SignalName::Kill => Signal::KILL,
        SignalName::Stop => Signal::STOP,
        SignalName::Cont => Signal::CONT,
    };
    kill_process(pid, signal).map_err(|source| InjectError::Signal {
        pid: pid.as_raw_nonzero().get(),
        source,
    })
}
