//! Answers of running requests: a stream of server-sent events or one JSON document.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use mgw_contract::caller::{
    CompletionChunk, CompletionReply, FinalAnswer, Outcome, REQUEST_ID_HEADER, Reason, STREAM_END,
};
use mgw_contract::tokens::token_text;
use mgw_serve::http::{Body, json_response};
use mgw_world::RequestId;
use tokio::sync::mpsc;

use super::answer::{FinalFields, set_answer_headers, status_of};
use super::run::RunItem;
use crate::app::App;

/// Builds the final answer of a run and counts its outcome.
fn finish_answer(
    app: &App,
    id: RequestId,
    tokens: u32,
    outcome: Outcome,
    reason: Reason,
) -> FinalAnswer {
    let message = match outcome {
        Outcome::Done => "the answer is complete".to_owned(),
        Outcome::NotRun => format!("the request did not run: {reason}"),
        Outcome::Unknown => format!("the answer is not complete: {reason}"),
    };
    let fields = FinalFields {
        id,
        outcome,
        reason,
        message,
        tokens,
        retry_after_ms: None,
    };
    let answer = fields.complete(app);
    app.metrics.count_outcome(answer.outcome, answer.reason);
    answer
}

/// The end of a run that closed its channel without an end item; this happens only when the process
/// is forced to stop.
const MISSING_END: RunItem = RunItem::End {
    outcome: Outcome::Unknown,
    reason: Reason::Leaving,
};

/// Streams the items of a run as server-sent events.
pub fn stream_answer(
    app: Arc<App>,
    id: RequestId,
    items: mpsc::Receiver<RunItem>,
) -> Response<Body> {
    let state = Some((items, 0_u32));
    let frames = futures::stream::unfold(state, move |state| {
        let app = Arc::clone(&app);
        async move {
            let (mut items, tokens) = state?;
            let item = items.recv().await.unwrap_or(MISSING_END);
            let (bytes, next) = match item {
                RunItem::Token { index, token } => {
                    let text = token_text(token);
                    let chunk = CompletionChunk {
                        id,
                        index,
                        text,
                        token,
                    };
                    (encode_event(&chunk), Some((items, tokens + 1)))
                }
                RunItem::End { outcome, reason } => {
                    let answer = finish_answer(&app, id, tokens, outcome, reason);
                    let mut bytes = encode_event(&answer);
                    bytes.extend_from_slice(format!("data: {STREAM_END}\n\n").as_bytes());
                    (bytes, None)
                }
            };
            Some((Ok::<_, Infallible>(Frame::data(Bytes::from(bytes))), next))
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Encodes a value as one server-sent event.
fn encode_event<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = b"data: ".to_vec();
    if serde_json::to_writer(&mut bytes, value).is_err() {
        bytes.truncate(0);
    }
    bytes.extend_from_slice(b"\n\n");
    bytes
}

/// Collects the items of a run into one JSON document.
pub async fn collect_answer(
    app: &App,
    id: RequestId,
    mut items: mpsc::Receiver<RunItem>,
) -> Response<Body> {
    let mut tokens = Vec::new();
    let (outcome, reason) = loop {
        match items.recv().await.unwrap_or(MISSING_END) {
            RunItem::Token { token, .. } => tokens.push(token),
            RunItem::End { outcome, reason } => break (outcome, reason),
        }
    };
    let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
    let answer = finish_answer(app, id, count, outcome, reason);
    let status = if outcome == Outcome::Done {
        StatusCode::OK
    } else {
        status_of(reason)
    };
    let text = tokens.iter().map(|token| token_text(*token)).collect();
    let reply = CompletionReply {
        text,
        tokens,
        answer,
    };
    let mut response = json_response(status, &reply);
    set_answer_headers(&mut response, &reply.answer);
    response
}
