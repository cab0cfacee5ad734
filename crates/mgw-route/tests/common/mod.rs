//! Builders of models, targets, links and requests for tests.

#![allow(dead_code, reason = "each test file uses only some of the builders")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use mgw_route::{PathRequest, Router, RouterSettings, TargetInput};
use mgw_world::{Engine, Incarnation, LayerRange, Limits, Link, Millis, Model, Target, TargetKind};

pub const BYTES_PER_TOKEN: u32 = 1_000;

pub fn model(layers: u16) -> Model {
    Model {
        name: "drill".into(),
        version: "v1".into(),
        layers,
        activation_bytes: BYTES_PER_TOKEN,
        kv_bytes_per_layer: 10,
    }
}

/// Creates a target that runs the layers `first..end` at `tokens_per_s`.
pub fn target(name: &str, place: &str, first: u16, end: u16, tokens_per_s: u32) -> Target {
    let engine = Engine {
        model: "drill".into(),
        version: "v1".into(),
        adapter: None,
        layers: LayerRange::new(first, end).expect("the layer range isn't empty"),
        accelerator: "a".into(),
    };
    Target {
        name: name.into(),
        incarnation: Incarnation(1),
        vm: name.into(),
        place: place.into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        duty: TargetKind::Engine(engine),
        limits: Limits {
            max_requests: 100,
            kv_bytes: 1_000_000,
            tokens_per_s,
        },
    }
}

/// Creates a link whose capacity is given in tokens per second.
pub fn link(from: &str, to: &str, tokens_per_s: u64) -> Link {
    Link {
        from: from.into(),
        to: to.into(),
        latency_us: 300,
        bytes_per_s: tokens_per_s * u64::from(BYTES_PER_TOKEN),
    }
}

/// Creates the input of an idle, fully warm target with a fresh load report.
pub fn input(target: Target) -> TargetInput {
    TargetInput {
        target: Arc::new(target),
        warm_share: 1.0,
        load: Default::default(),
        load_age_ms: Millis::ZERO,
    }
}

/// Creates a router with default settings, the model and these targets.
pub fn router(layers: u16, targets: Vec<Target>) -> Router {
    let mut router = Router::new(RouterSettings::default());
    router.update_models([model(layers)]);
    router.update_targets(targets.into_iter().map(input), Millis::ZERO);
    router
}

pub fn request() -> PathRequest {
    PathRequest {
        model: "drill".into(),
        version: "v1".into(),
        tokens: 10,
        ..PathRequest::default()
    }
}

pub fn range(first: u16, end: u16) -> LayerRange {
    LayerRange::new(first, end).expect("the layer range isn't empty")
}
