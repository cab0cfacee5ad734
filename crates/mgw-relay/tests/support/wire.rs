//! Wire format of the tests: header fields, reports of engines and the routing document.

use super::LAYERS;
use hyper::header::{HeaderMap, HeaderValue};
use mgw_contract::target::{EngineReport, ReportCall};
use mgw_relay::{
    AnswerHead, CallerHead, Dialect, RelayAdapter, RequestedPause, StatedLimit, TargetHead,
};
use mgw_route::RequestRate;
use mgw_routing::{CallKind, KeyedWorkspace, Route, RoutedService, Routing, Split};
use mgw_world::{Accelerator, Millis, PipelineModel, PromptPart, RoutingVersion};

/// Names of the header fields in the tests' wire format.
pub mod names {
    pub const ID: &str = "x-id";
    pub const TIME: &str = "x-time-left";
    pub const KEY: &str = "x-key";
    pub const TARGET: &str = "x-target";
    pub const WORKSPACE: &str = "x-workspace";
    pub const CHAIN: &str = "x-chain";
    pub const LAST_EVENT: &str = "x-last-event";
    pub const NOT_RUN: &str = "x-not-run";
    pub const AT_FAULT: &str = "x-at-fault";
    pub const SEAL: &str = "x-seal";
    pub const LEAVING: &str = "x-leaving";
    pub const PAUSE: &str = "x-pause";
    pub const PARTS: &str = "x-parts";
    pub const LIMIT: &str = "x-limit";
}

pub const ADAPTER: RelayAdapter = RelayAdapter {
    dialect: Dialect {
        read_request,
        write_request,
        read_answer,
    },
    report: ReportCall {
        path: "/report",
        read: |_| {
            Ok(EngineReport {
                accepted_orders: 0,
                is_busy: false,
                layers: None,
                slowness: 1.0,
            })
        },
    },
    decode_routing,
};

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn read_request(headers: &HeaderMap) -> CallerHead {
    let number = |name| text(headers, name)?.parse().ok();
    CallerHead {
        id: text(headers, names::ID).unwrap_or_default().to_owned(),
        deadline_ms: number(names::TIME).map(Millis),
        key: text(headers, names::KEY).map(ToOwned::to_owned),
        last_event: number(names::LAST_EVENT),
        shared_parts: read_shared_parts(headers),
        ..CallerHead::default()
    }
}

fn read_shared_parts(headers: &HeaderMap) -> Vec<PromptPart> {
    let parts = text(headers, names::PARTS).and_then(|parts| parts.rsplit_once(','));
    let shared = parts.map(|(shared, _)| shared.split(','));
    shared
        .into_iter()
        .flatten()
        .map(|part| part.parse().unwrap())
        .collect()
}

fn write_request(headers: &mut HeaderMap, head: &TargetHead<'_>) {
    headers.remove(names::KEY);
    let mut put = |name: &'static str, text: String| {
        headers.insert(name, HeaderValue::from_str(&text).unwrap());
    };
    put(names::TIME, head.time_left_ms.0.to_string());
    put(names::TARGET, head.target.to_string());
    put(names::CHAIN, head.chain.len().to_string());
    if let Some(workspace) = head.workspace {
        put(names::WORKSPACE, workspace.to_string());
    }
    if let Some(last_event) = head.last_event {
        put(names::LAST_EVENT, last_event.to_string());
    }
}

fn read_answer(_: u16, headers: &HeaderMap) -> AnswerHead {
    AnswerHead {
        id: text(headers, names::ID).map(ToOwned::to_owned),
        is_signed: text(headers, names::SEAL).is_some_and(|it| !it.is_empty()),
        not_run: headers.contains_key(names::NOT_RUN),
        at_fault: text(headers, names::AT_FAULT).and_then(|at| at.parse().ok()),
        is_leaving: headers.contains_key(names::LEAVING),
        pause: match text(headers, names::PAUSE).map(str::parse) {
            None => RequestedPause::None,
            Some(Ok(pause_ms)) => RequestedPause::For(Millis(pause_ms)),
            Some(Err(_)) => RequestedPause::Unreadable,
        },
        rate_limit: match text(headers, names::LIMIT).map(str::parse) {
            None => StatedLimit::None,
            Some(number) => number
                .ok()
                .and_then(RequestRate::from_per_s)
                .map_or(StatedLimit::Unreadable, StatedLimit::Rate),
        },
    }
}

fn decode_routing(source: &[u8]) -> Result<Routing, String> {
    let text = std::str::from_utf8(source).map_err(|error| error.to_string())?;
    // Text behind the first line makes a document large.
    let first_line = text.lines().next().unwrap_or_default();
    let version: u64 = first_line.parse().map_err(|_| "no version".to_owned())?;
    let route = |path: &str, kind, service: &str| Route {
        name: path.to_owned(),
        host: "drills.example".to_owned(),
        path_prefix: path.to_owned(),
        kind,
        timeout_ms: Millis(20_000),
        priority: 1,
        splits: vec![Split {
            service: service.into(),
            weight: 1,
        }],
        max_targets: if kind == CallKind::NonIdempotent {
            1
        } else {
            2
        },
        is_public: false,
        is_resumable: kind == CallKind::Stream,
        max_event_pause_ms: Millis(200),
        target_latency_ms: Millis(500),
    };
    let mut routes = vec![
        route("/stream/", CallKind::Stream, "pool"),
        route("/once/", CallKind::NonIdempotent, "records"),
        route("/read/", CallKind::Idempotent, "records"),
    ];
    if version > 1 {
        routes.push(route("/later/", CallKind::Idempotent, "records"));
    }
    let service = |name: &str, model| RoutedService {
        name: name.into(),
        max_connections: 100,
        model,
    };
    Ok(Routing {
        version: RoutingVersion(version),
        routes,
        services: vec![service("pool", Some(model())), service("records", None)],
        workspaces: vec![KeyedWorkspace {
            name: "marshals".into(),
            keys: vec!["key".to_owned()],
            priority: None,
        }],
        ..Routing::default()
    })
}

fn model() -> PipelineModel {
    PipelineModel {
        name: "drill".into(),
        layers: LAYERS,
        layer_bytes: 1_000,
        kv_bytes_per_layer: 1.0,
        step_ms: 1.0,
        request_step_ms: 0.01,
        context_step_ms: 0.01,
        prefill_tokens_per_ms: 100.0,
        activation_bytes: 1.0,
        place_link_bytes_per_ms: 1_000.0,
        usual_prompt_tokens: 100,
        usual_answer_tokens: 100,
        load_ms: Millis(1_000),
        loads_at_once: 5,
        accelerators: vec![Accelerator {
            kind: "card".into(),
            memory_bytes: 1_000_000,
            step_factor: 1.0,
            prefill_factor: 1.0,
        }],
    }
}
