//! Answers a caller's request.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, Version};
use mgw_routing::CallKind;

use super::caller_stream::ResetAtEnd;
use super::{Call, Refusal, RelayBody};
use crate::app::App;
use crate::plain::answer_plain;
use crate::stream::{RelayedStream, StreamStart, stream_body};

/// Answers one request, by a target's answer or by a refusal.
pub async fn handle_request(
    app: Arc<App>,
    request: Request<Incoming>,
    reset_at_end: ResetAtEnd,
) -> Response<RelayBody> {
    let has_chunks = request.version() >= Version::HTTP_11;
    let mut response = match Call::read(&app, request).await {
        Ok(call) => answer_call(&app, call).await,
        Err(refusal) => {
            app.metrics
                .requests
                .with_label_values(&["none", refusal.status.as_str()])
                .inc();
            refusal.to_response()
        }
    };
    if app.should_close_connection() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    if has_chunks {
        return response;
    }
    response.map(|body| {
        body.map_err(move |truncated| {
            reset_at_end.request();
            truncated
        })
        .boxed_unsync()
    })
}

async fn answer_call(app: &Arc<App>, call: Call) -> Response<RelayBody> {
    let has_model = app.with_chains(&call.service, |_| ()).is_some();
    if call.route.kind != CallKind::Stream || !has_model {
        return answer_plain(app, &call).await;
    }
    match RelayedStream::start(Arc::clone(app), call).await {
        StreamStart::Begun {
            parts,
            first,
            stream,
        } => Response::from_parts(*parts, stream_body(first, *stream)),
        StreamStart::Answered(response) => *response,
        StreamStart::Refused(refusal) => Refusal::to_response(refusal),
    }
}
