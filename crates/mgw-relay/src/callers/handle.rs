//! Answers a caller's request.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, Version};
use mgw_routing::CallKind;
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::caller_stream::ResetAtEnd;
use super::{Call, Refusal, RelayBody};
use crate::app::App;
use crate::plain::answer_plain;
use crate::stream::{RelayedStream, StreamStart, stream_body};

/// What the answer to a request depends on besides the request itself.
pub struct Handling {
    /// Has the connection end with a reset.
    pub reset_at_end: ResetAtEnd,
    /// Cancelled when connections are to take no further request.
    pub closing: CancellationToken,
}

/// Answers one request, by a target's answer or by a refusal. A request that wasn't read whole before connections were
/// closing isn't passed on: the process would end before its answer.
pub async fn handle_request(
    app: Arc<App>,
    request: Request<Incoming>,
    handling: Handling,
) -> Response<RelayBody> {
    let has_chunks = request.version() >= Version::HTTP_11;
    let read = Call::read(&app, request).await;
    let admitted = match read {
        Ok(call) if handling.closing.is_cancelled() => {
            info!(id = %call.head.id, "request refused: the process ends");
            Err(Refusal::ending())
        }
        read => read,
    };
    let mut response = match admitted {
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
            handling.reset_at_end.request();
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
