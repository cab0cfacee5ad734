//! A model, targets in several zones and a router for the tests of chains.

#![allow(dead_code, reason = "each test uses a part")]
#![allow(clippy::unwrap_used)]

use mgw_route::{Chain, ChainRequest, ChainRouter, ChainSettings, ChainTarget, TargetRun};
use mgw_world::{Accelerator, Incarnation, LayerRange, Millis, PipelineModel};

/// A model of 80 layers and two kinds of accelerators; decoding steps take four times as long on
/// the slow kind.
pub fn model() -> PipelineModel {
    PipelineModel {
        name: "drill".into(),
        layers: 80,
        layer_bytes: 1_750_000_000,
        kv_bytes_per_layer: 11_475.0,
        step_ms: 1.0,
        request_step_ms: 0.007,
        context_step_ms: 0.01,
        prefill_tokens_per_ms: 105.0,
        activation_bytes: 45_900.0,
        place_link_bytes_per_ms: 2_750_000.0,
        usual_prompt_tokens: 760,
        usual_answer_tokens: 200,
        load_ms: Millis(14_000),
        loads_at_once: 5,
        accelerators: vec![
            Accelerator {
                kind: "fast".into(),
                memory_bytes: 160_000_000_000,
                step_factor: 2.0,
                prefill_factor: 3.0,
            },
            Accelerator {
                kind: "slow".into(),
                memory_bytes: 160_000_000_000,
                step_factor: 8.0,
                prefill_factor: 8.0,
            },
        ],
    }
}

/// A target in the zone `place` that holds the layers `first..end`.
pub fn target(name: &str, place: &str, kind: &str, first: u16, end: u16) -> ChainTarget {
    let port = name.bytes().fold(1_000_u16, |port, byte| {
        port.wrapping_mul(31).wrapping_add(u16::from(byte))
    });
    ChainTarget {
        name: name.into(),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], port).into(),
        place: place.into(),
        accelerator: kind.into(),
        layers: LayerRange::new(first, end).unwrap(),
        max_received: 10_000,
    }
}

/// A router with these targets for an entry in the zone `home`.
pub fn router(targets: Vec<ChainTarget>) -> ChainRouter {
    let mut router = ChainRouter::new(ChainSettings::default(), model(), "home".into());
    router.set_targets(targets, Millis(0));
    router
}

pub const REQUEST: ChainRequest<'_> = ChainRequest {
    prompt_tokens: 760,
    answer_tokens: 200,
    avoid: &[],
    limits: None,
};

pub fn names(chain: &Chain) -> Vec<&str> {
    chain.hops.iter().map(|hop| hop.target.as_str()).collect()
}

pub fn two_zones() -> Vec<ChainTarget> {
    vec![
        target("h1", "home", "fast", 0, 40),
        target("h2", "home", "fast", 40, 80),
        target("f1", "far", "fast", 0, 30),
        target("f2", "far", "fast", 30, 80),
    ]
}

/// Chooses chains until there is none left; returns their number.
pub fn fill(router: &mut ChainRouter) -> usize {
    let mut chosen = 0;
    while router.choose(&REQUEST, Millis(0)).is_ok() {
        chosen += 1;
    }
    chosen
}

pub fn run(name: &str) -> TargetRun {
    TargetRun {
        name: name.into(),
        incarnation: Incarnation(1),
    }
}
