//! Placement by the speed of the holders, where requests don't compete for room.

#![allow(clippy::unwrap_used)]

use mgw_place::{AnnouncedEngine, PlacementOrder, Placer, PlacerSettings};
use mgw_world::{Accelerator, Incarnation, LayerRange, Millis, PipelineModel};

/// A model of eight layers; each kind of accelerator keeps four of them and as much memory for requests.
fn model() -> PipelineModel {
    let accelerator = |kind: &str, step_factor| Accelerator {
        kind: kind.into(),
        memory_bytes: 8_000_000_000,
        step_factor,
        prefill_factor: 1.0,
    };
    PipelineModel {
        name: "drill".into(),
        layers: 8,
        layer_bytes: 1_000_000_000,
        kv_bytes_per_layer: 10_000.0,
        step_ms: 1.0,
        request_step_ms: 0.01,
        context_step_ms: 0.01,
        prefill_tokens_per_ms: 100.0,
        activation_bytes: 1_000.0,
        place_link_bytes_per_ms: 1_000_000.0,
        usual_prompt_tokens: 700,
        usual_answer_tokens: 200,
        load_ms: Millis(8_000),
        loads_at_once: 5,
        accelerators: vec![accelerator("fast", 1.0), accelerator("slow", 16.0)],
    }
}

fn engine(name: &str, kind: &str, layers: Option<(u16, u16)>) -> AnnouncedEngine {
    AnnouncedEngine {
        name: name.into(),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 80).into(),
        place: "home".into(),
        accelerator: kind.into(),
        layers: layers.map(|(first, end)| LayerRange::new(first, end).unwrap()),
    }
}

/// Orders at each round of 20 s, with their times.
fn play(engines: &[AnnouncedEngine]) -> Vec<(Millis, PlacementOrder)> {
    let mut placer = Placer::new(PlacerSettings::default(), Millis(0));
    placer.set_by_flow(false);
    let mut orders = Vec::new();
    for now in (0..20_000).step_by(250).map(Millis) {
        for engine in engines {
            let report = mgw_contract::target::EngineReport {
                accepted_orders: 0,
                is_busy: false,
                layers: engine.layers,
                slowness: 1.0,
            };
            placer.record_report(&engine.name, report, now);
        }
        let sent = placer.plan(&model(), engines, now);
        orders.extend(sent.into_iter().map(|order| (now, order)));
    }
    orders
}

#[test]
fn an_empty_engine_waits_and_takes_the_layers_with_the_slowest_holders() {
    let orders = play(&[
        engine("fast-1", "fast", Some((0, 4))),
        engine("slow-1", "slow", Some((4, 8))),
        engine("new", "fast", None),
    ]);
    let (at, first) = &orders[0];
    assert!(*at >= Millis(2_500), "{at:?}");
    assert_eq!(first.target, "new".into());
    let holds_slow_layers = first.layers.first() <= 4 && first.layers.end() == 8;
    assert!(holds_slow_layers, "{}", first.layers);
}

#[test]
fn no_engine_moves_without_a_gap() {
    let orders = play(&[
        engine("fast-1", "fast", Some((0, 4))),
        engine("fast-2", "fast", Some((0, 4))),
        engine("fast-3", "fast", Some((0, 4))),
        engine("slow-1", "slow", Some((4, 8))),
    ]);
    assert!(orders.is_empty(), "{orders:?}");
}
