//! A simulated target that writes scripted bytes, for answers that no HTTP library would send.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::Standin;
use super::standin::Seen;

/// Number of copies that an endless piece sends at once.
const ENDLESS_REPEATS: usize = 64;

/// One step of an answer.
#[derive(Debug, Clone)]
pub enum Piece {
    /// Sends these bytes; `{id}` stands for the id of the request.
    Send(&'static str),
    /// Sends these bytes if the connection has carried an earlier request.
    SendIfKept(&'static str),
    /// Sends nothing for so many milliseconds.
    Pause(u64),
    /// Sends these bytes again and again until the relay gives the connection up.
    Endless(&'static str),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

impl Standin {
    /// Starts a target that answers its first requests by scripts, and later ones with `last`.
    pub async fn start_raw(
        name: &str,
        is_engine: bool,
        scripts: Vec<Vec<Piece>>,
        last: Vec<Piece>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let standin = Self::new(name, listener.local_addr().unwrap(), is_engine, &[]);
        let scripts = Arc::new(Mutex::new(VecDeque::from(scripts)));
        let serving = standin.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (standin, scripts, last) =
                    (serving.clone(), Arc::clone(&scripts), last.clone());
                tokio::spawn(async move {
                    let _ = serve_raw(&standin, stream, &scripts, &last).await;
                });
            }
        });
        standin
    }
}

async fn serve_raw(
    standin: &Standin,
    mut stream: TcpStream,
    scripts: &Mutex<VecDeque<Vec<Piece>>>,
    last: &[Piece],
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut is_kept = false;
    while let Some(id) = read_request(standin, &mut stream).await? {
        let script = scripts.lock().pop_front();
        for piece in script.unwrap_or_else(|| last.to_vec()) {
            match piece {
                Piece::Send(text) => {
                    let text = text.replace("{id}", &id);
                    stream.write_all(text.as_bytes()).await?;
                }
                Piece::SendIfKept(text) if is_kept => {
                    let text = text.replace("{id}", &id);
                    stream.write_all(text.as_bytes()).await?;
                }
                Piece::SendIfKept(_) => {}
                Piece::Pause(span_ms) => sleep(Duration::from_millis(span_ms)).await,
                Piece::Endless(text) => {
                    let block = text.replace("{id}", &id).repeat(ENDLESS_REPEATS);
                    let mut sent_bytes = 0;
                    while stream.write_all(block.as_bytes()).await.is_ok() {
                        sent_bytes += block.len();
                    }
                    // Probes carry no id.
                    if !id.is_empty() {
                        standin.record_given_up(sent_bytes);
                    }
                    return Ok(());
                }
                Piece::Close => return Ok(()),
                Piece::Reset => {
                    stream.set_zero_linger()?;
                    return Ok(());
                }
            }
        }
        is_kept = true;
    }
    Ok(())
}

/// Reads a request and returns its id, or `None` at the end of the connection.
async fn read_request(
    standin: &Standin,
    stream: &mut TcpStream,
) -> std::io::Result<Option<String>> {
    let mut bytes = Vec::new();
    let (head, body_bytes) = loop {
        let mut buffer = [0; 4_096];
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            break (head.to_lowercase(), body.len());
        }
    };
    let field = |name: &str| {
        let lines = head.lines();
        let mut values = lines.filter_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        values.next().map(ToOwned::to_owned)
    };
    let length: usize = field("content-length").map_or(0, |it| it.parse().unwrap());
    let mut rest = vec![0; length.saturating_sub(body_bytes)];
    stream.read_exact(&mut rest).await?;
    let id = field(super::names::ID).unwrap_or_default();
    if !head.starts_with("get /report") {
        standin.record(Seen {
            id: id.clone(),
            last_event: field(super::names::LAST_EVENT).and_then(|it| it.parse().ok()),
            has_key: field(super::names::KEY).is_some(),
            workspace: field(super::names::WORKSPACE),
            chain: field(super::names::CHAIN),
            time_left_ms: field(super::names::TIME).and_then(|it| it.parse().ok()),
            body: String::new(),
        });
    }
    Ok(Some(id))
}
