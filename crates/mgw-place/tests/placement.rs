//! Plans of layers for the engines of a zone, and the orders that the placer derives from them.

#![allow(clippy::unwrap_used)]

use mgw_contract::target::EngineReport;
use mgw_place::{
    AnnouncedEngine, OrderOutcome, PlacementOrder, Placer, PlacerSettings, PlannedEngine,
    plan_layers,
};
use mgw_world::{Accelerator, Incarnation, LayerRange, Millis, PipelineModel};

fn model() -> PipelineModel {
    let accelerator = |kind: &str, memory_mb: u64, step_factor| Accelerator {
        kind: kind.into(),
        memory_bytes: memory_mb * 1_000_000,
        step_factor,
        prefill_factor: 1.0,
    };
    PipelineModel {
        name: "drill".into(),
        layers: 80,
        layer_bytes: 1_750_000_000,
        kv_bytes_per_layer: 11_475.0,
        step_ms: 1.02,
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
            accelerator("large", 72_000, 2.4),
            accelerator("middle", 43_200, 5.6),
            accelerator("small", 21_600, 16.0),
        ],
    }
}

fn range(first: u16, end: u16) -> LayerRange {
    LayerRange::new(first, end).unwrap()
}

fn engines(kinds: &[(&str, usize)]) -> Vec<PlannedEngine> {
    let mut engines = Vec::new();
    for (kind, count) in kinds {
        for number in 0..*count {
            engines.push(PlannedEngine {
                name: format!("{kind}-{number}").as_str().into(),
                accelerator: (*kind).into(),
                layers: None,
            });
        }
    }
    engines
}

fn copies(plan: impl Iterator<Item = LayerRange>) -> Vec<usize> {
    let mut copies = vec![0; 80];
    for layers in plan {
        for layer in layers.first()..layers.end() {
            copies[usize::from(layer)] += 1;
        }
    }
    copies
}

#[test]
fn plan_for_a_fresh_zone_covers_all_layers_within_the_memory_of_each_engine() {
    let model = model();
    let zones: [&[(&str, usize)]; 3] = [
        &[("large", 2), ("middle", 2), ("small", 5)],
        &[("large", 1), ("middle", 3), ("small", 8)],
        &[("large", 1), ("middle", 6), ("small", 5)],
    ];
    for zone in zones {
        let engines = engines(zone);
        let plan = plan_layers(&model, &engines);
        assert_eq!(plan.len(), engines.len(), "each engine has layers");
        let copies = copies(plan.values().copied());
        assert!(
            copies.iter().all(|count| *count >= 1),
            "{zone:?}: {copies:?}"
        );
        for engine in &engines {
            let accelerator = model.accelerator(&engine.accelerator).unwrap();
            let max_layers = model.max_layers(accelerator);
            assert!(plan[&engine.name].count() <= max_layers, "{}", engine.name);
        }
    }
}

#[test]
fn plan_holds_all_layers_twice_when_memory_allows() {
    let plan = plan_layers(
        &model(),
        &engines(&[("large", 1), ("middle", 6), ("small", 5)]),
    );
    let copies = copies(plan.values().copied());
    assert!(copies.iter().all(|count| *count >= 2), "{copies:?}");
}

#[test]
fn an_empty_engine_is_assigned_the_layers_that_no_other_holds() {
    let mut engines = engines(&[("large", 3)]);
    engines[0].layers = Some(range(0, 27));
    engines[1].layers = Some(range(54, 80));
    let plan = plan_layers(&model(), &engines);
    let assigned = plan[&engines[2].name];
    assert!(assigned.first() <= 27 && assigned.end() >= 54, "{assigned}");
}

#[test]
fn a_gap_without_empty_engines_is_filled_by_an_engine_with_redundant_layers() {
    let mut engines = engines(&[("large", 3), ("small", 1)]);
    engines[0].layers = Some(range(0, 40));
    engines[1].layers = Some(range(40, 72));
    engines[2].layers = Some(range(10, 40));
    engines[3].layers = Some(range(20, 28));
    let plan = plan_layers(&model(), &engines);
    assert_eq!(plan.len(), 1);
    assert_eq!(plan[&engines[3].name], range(72, 80));
}

#[test]
fn an_engine_with_the_only_copy_of_its_layers_is_not_reassigned() {
    let mut engines = engines(&[("large", 2)]);
    engines[0].layers = Some(range(0, 30));
    engines[1].layers = Some(range(30, 60));
    assert!(plan_layers(&model(), &engines).is_empty());
}

fn announced(name: &str, layers: Option<LayerRange>) -> AnnouncedEngine {
    AnnouncedEngine {
        name: name.into(),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 80).into(),
        place: "home".into(),
        accelerator: "large".into(),
        layers,
    }
}

fn fleet() -> Vec<AnnouncedEngine> {
    vec![
        announced("a", None),
        announced("b", None),
        announced("c", None),
    ]
}

fn settle(engines: &[AnnouncedEngine]) -> (Placer, Vec<PlacementOrder>) {
    let mut placer = Placer::new(PlacerSettings::default(), Millis(0));
    assert!(placer.plan(&model(), engines, Millis(100)).is_empty());
    let orders = placer.plan(&model(), engines, Millis(2_000));
    (placer, orders)
}

#[test]
fn orders_are_delayed_until_the_fleet_is_stable() {
    let (_, orders) = settle(&fleet());
    assert_eq!(orders.len(), 3);
    assert!(orders.iter().all(|order| order.accepted_orders == 0));
}

#[test]
fn an_unanswered_order_is_repeated_only_after_the_engine_was_queried() {
    let engines = fleet();
    let (mut placer, orders) = settle(&engines);
    for order in &orders {
        placer.record_outcome(&model(), order, OrderOutcome::Unknown, Millis(2_000));
    }
    assert!(placer.plan(&model(), &engines, Millis(4_000)).is_empty());
    assert!(placer.list_targets_to_query(Millis(4_000)).is_empty());
    let after_timeout = Millis(6_000);
    assert_eq!(placer.list_targets_to_query(after_timeout).len(), 3);
    let idle_report = EngineReport {
        accepted_orders: 0,
        is_busy: false,
        layers: None,
        slowness: 1.0,
    };
    for order in &orders {
        placer.record_report(&order.target, idle_report, after_timeout);
    }
    let next_orders = placer.plan(&model(), &engines, after_timeout);
    assert_eq!(
        next_orders, orders,
        "the same orders under the same precondition"
    );
}

#[test]
fn an_unanswered_order_confirmed_by_an_announcement_is_not_repeated() {
    let mut engines = fleet();
    let (mut placer, orders) = settle(&engines);
    for order in &orders {
        placer.record_outcome(&model(), order, OrderOutcome::Unknown, Millis(2_000));
        let engine = engines
            .iter_mut()
            .find(|engine| engine.name == order.target);
        engine.unwrap().layers = Some(order.layers);
    }
    assert!(placer.plan(&model(), &engines, Millis(3_000)).is_empty());
    assert!(placer.list_targets_to_query(Millis(60_000)).is_empty());
}

#[test]
fn a_refused_order_is_repeated_with_the_precondition_that_the_engine_reports() {
    let engines = fleet();
    let (mut placer, orders) = settle(&engines);
    placer.record_outcome(&model(), &orders[0], OrderOutcome::Refused, Millis(2_000));
    assert_eq!(
        placer.list_targets_to_query(Millis(2_000)),
        [orders[0].target.clone()]
    );
    let report_with_four_orders = EngineReport {
        accepted_orders: 4,
        is_busy: false,
        layers: None,
        slowness: 1.0,
    };
    placer.record_report(&orders[0].target, report_with_four_orders, Millis(2_100));
    let next_orders = placer.plan(&model(), &engines, Millis(2_200));
    let order = next_orders
        .iter()
        .find(|order| order.target == orders[0].target);
    assert_eq!(order.unwrap().accepted_orders, 4);
}

#[test]
fn a_new_placer_queries_engines_that_already_hold_layers() {
    let engines = vec![
        announced("a", Some(range(0, 27))),
        announced("b", Some(range(27, 54))),
        announced("c", Some(range(10, 30))),
    ];
    let mut placer = Placer::new(PlacerSettings::default(), Millis(0));
    placer.plan(&model(), &engines, Millis(0));
    assert_eq!(placer.list_targets_to_query(Millis(0)).len(), 3);
}

#[test]
fn a_restarted_engine_gets_a_new_order() {
    let mut engines = fleet();
    let (mut placer, orders) = settle(&engines);
    for order in &orders {
        placer.record_outcome(&model(), order, OrderOutcome::Begun, Millis(2_000));
        let engine = engines
            .iter_mut()
            .find(|engine| engine.name == order.target);
        engine.unwrap().layers = Some(order.layers);
    }
    assert!(placer.plan(&model(), &engines, Millis(3_000)).is_empty());
    engines[1].incarnation = Incarnation(2);
    engines[1].layers = None;
    let next_orders = placer.plan(&model(), &engines, Millis(9_000));
    assert_eq!(next_orders.len(), 1);
    assert_eq!(next_orders[0].target, engines[1].name);
    assert_eq!(next_orders[0].accepted_orders, 0);
}

/// Guards against orders that reach a new engine before the layers that it is to take are free.
/// This occurs in a rolling replacement: the targets of a zone are replaced one after the other, and
/// each new one starts before the old one leaves.
#[test]
fn a_spare_engine_gets_no_order_until_the_engine_it_replaces_has_left() {
    let mut engines = vec![
        announced("a", Some(range(0, 27))),
        announced("b", Some(range(27, 54))),
        announced("c", Some(range(54, 80))),
    ];
    let mut placer = Placer::new(PlacerSettings::default(), Millis(0));
    placer.plan(&model(), &engines, Millis(0));
    placer.plan(&model(), &engines, Millis(2_000));
    engines.push(announced("new", None));
    assert!(placer.plan(&model(), &engines, Millis(2_100)).is_empty());
    engines.remove(1);
    let orders = placer.plan(&model(), &engines, Millis(3_000));
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].target, "new".into());
    let layers = orders[0].layers;
    assert!(layers.first() <= 27 && layers.end() >= 54, "{layers}");
}

#[test]
fn a_spare_engine_without_a_gap_gets_an_order_after_a_delay() {
    let mut engines = vec![
        announced("a", Some(range(0, 27))),
        announced("b", Some(range(27, 54))),
        announced("c", Some(range(54, 80))),
    ];
    let mut placer = Placer::new(PlacerSettings::default(), Millis(0));
    placer.plan(&model(), &engines, Millis(0));
    placer.plan(&model(), &engines, Millis(2_000));
    engines.push(announced("new", None));
    assert!(placer.plan(&model(), &engines, Millis(2_100)).is_empty());
    assert_eq!(placer.plan(&model(), &engines, Millis(5_000)).len(), 1);
}
