//! Orders to an engine: fencing numbers, repeated orders, and the effect of a load.

#![allow(clippy::unwrap_used)]

use mgw_contract::engine::{EngineOrder, OrderReply};
use mgw_contract::target::Readiness;
use mgw_standin::engine::EngineCore;
use mgw_standin::settings::EngineSettings;
use mgw_world::{FenceNumber, LayerRange};

fn layers(first: u16, end: u16) -> LayerRange {
    LayerRange::new(first, end).unwrap()
}

fn engine() -> EngineCore {
    EngineCore::new("e".into(), EngineSettings::default(), layers(0, 4))
}

fn order(fence: u64, sequence: u64, range: LayerRange) -> EngineOrder {
    EngineOrder {
        target: "e".into(),
        fence: FenceNumber(fence),
        sequence,
        model: "drill".into(),
        version: "v1".into(),
        adapter: None,
        layers: range,
    }
}

const fn fenced(newest: u64) -> OrderReply {
    OrderReply::Fenced {
        newest: FenceNumber(newest),
    }
}

macro_rules! order_decision_tests {
    ($($name:ident: checks_fence $checks_fence:literal,
       $(($fence:literal, $sequence:literal, $first:literal..$end:literal) => $reply:expr),+;)*) => {$(
        #[test]
        fn $name() {
            let mut engine = engine();
            $(
                let new_order = order($fence, $sequence, layers($first, $end));
                let decision = engine.decide_order(&new_order, $checks_fence);
                assert_eq!(decision.reply, $reply);
                assert_eq!(decision.starts_load, $reply == OrderReply::Accepted);
                if decision.starts_load {
                    assert_eq!(engine.readiness(), Readiness::Loading);
                    assert!(engine.finish_load(&new_order));
                    assert_eq!(engine.loaded().layers, new_order.layers);
                }
            )+
            assert_eq!(engine.readiness(), Readiness::Ready);
        }
    )*};
}

order_decision_tests! {
    order_for_the_state_already_loaded: checks_fence true, (1, 1, 0..4) => OrderReply::Unchanged;
    repeated_order: checks_fence true,
        (1, 1, 4..8) => OrderReply::Accepted, (1, 1, 4..8) => OrderReply::Unchanged;
    older_fence: checks_fence true,
        (2, 1, 4..8) => OrderReply::Accepted, (1, 9, 0..4) => fenced(2);
    older_fence_after_an_order_that_changed_nothing: checks_fence true,
        (5, 1, 0..4) => OrderReply::Unchanged, (4, 1, 4..8) => fenced(5);
    older_sequence: checks_fence true,
        (2, 5, 4..8) => OrderReply::Accepted, (2, 4, 0..4) => fenced(2);
    newer_sequence: checks_fence true,
        (2, 5, 4..8) => OrderReply::Accepted, (2, 6, 0..4) => OrderReply::Accepted;
    newer_fence_with_lower_sequence: checks_fence true,
        (2, 5, 4..8) => OrderReply::Accepted, (3, 1, 0..4) => OrderReply::Accepted;
    older_fence_at_an_engine_that_ignores_fences: checks_fence false,
        (2, 1, 4..8) => OrderReply::Accepted, (1, 1, 0..4) => OrderReply::Accepted;
}

#[test]
fn a_newer_order_replaces_one_that_is_loading() {
    let mut engine = engine();
    let old = order(1, 1, layers(4, 8));
    let new = order(2, 1, layers(8, 12));
    assert!(engine.decide_order(&old, true).starts_load);
    assert_eq!(engine.decide_order(&old, true).reply, OrderReply::Unchanged);
    assert!(engine.decide_order(&new, true).starts_load);
    assert!(!engine.finish_load(&old));
    assert!(engine.state(true).loading);
    assert!(engine.finish_load(&new));
    assert_eq!(engine.state(true).layers, layers(8, 12));
}

#[test]
fn an_engine_that_ignores_fencing_numbers_reports_none() {
    let mut engine = engine();
    engine.decide_order(&order(3, 1, layers(0, 4)), false);
    assert_eq!(engine.state(false).fence, None);
    assert_eq!(engine.state(true).fence, Some(FenceNumber(3)));
}
