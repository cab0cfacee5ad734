//! Orders to engines: fencing, the wait for the former lease, reading the state again, the rate of
//! the weight store, and the sequence of loads.

use mgw_contract::engine::{EngineState, OrderReply};
use mgw_state::Inventory;
use mgw_state::orders::{OrderPlan, OrderPlanner, OrderSettings};
use mgw_world::{FenceNumber, LayerRange, Millis};

const ENDLESS_LEASE: Millis = Millis(u64::MAX);

/// An inventory with a 12-layer model and a target for each
/// `(name, checks_fence, first, end, bytes)`.
fn inventory(version: &str, targets: &[(&str, bool, u16, u16, u64)]) -> Inventory {
    let mut text = format!(
        "places = [{{ name = \"a\", region = \"r\" }}]\n\
         vms = [{{ name = \"vm\", place = \"a\" }}]\n\
         models = [{{ name = \"drill\", version = \"{version}\", layers = 12, \
         activation_bytes = 1, kv_bytes_per_layer = 1 }}]\n\
         operators = [{{ name = \"anika\", key_sha256 = \"{}\" }}]\n\
         rules = {{ weight_store_bytes_per_s = 1000 }}\n",
        "0".repeat(64)
    );
    for (name, checks_fence, first, end, bytes) in targets {
        text.push_str(&format!(
            "[[targets]]\nname = \"{name}\"\nvm = \"vm\"\nchecks_fence = {checks_fence}\n\
             duty = {{ engine = {{ model = \"drill\", weight_bytes = {bytes}, \
             layers = {{ first = {first}, end = {end} }} }} }}\n"
        ));
    }
    Inventory::parse("orders.toml", &text).expect("a whole inventory")
}

/// The reported state of an engine that has these layers of a version loaded.
fn state_with(name: &str, version: &str, first: u16, end: u16) -> EngineState {
    EngineState {
        target: name.into(),
        fence: None,
        model: "drill".into(),
        version: version.into(),
        adapter: None,
        layers: LayerRange::new(first, end).expect("not empty"),
        loading: false,
    }
}

fn planner() -> OrderPlanner {
    let settings = OrderSettings {
        lease_ms: Millis(100),
        clock_error_ms: Millis(10),
        read_interval_ms: Millis(50),
    };
    OrderPlanner::new(FenceNumber(7), Millis(1_000), settings)
}

fn ordered_targets(plan: &OrderPlan) -> Vec<&str> {
    plan.orders
        .iter()
        .map(|planned| planned.order.target.as_str())
        .collect()
}

/// Simulates engines that carry out every order at once and report their new state in the next
/// round; returns the targets in the sequence of their orders.
fn simulate(inventory: &Inventory, mut states: Vec<EngineState>) -> Vec<String> {
    let mut planner = planner();
    let mut ordered = Vec::new();
    for round in 0..200 {
        let now = Millis(1_200 + round * 100);
        for state in &states {
            planner.record_state(state.clone(), now);
        }
        for planned in planner.plan(inventory, now, ENDLESS_LEASE).orders {
            let order = planned.order;
            ordered.push(order.target.to_string());
            let state = states.iter_mut().find(|state| state.target == order.target);
            let state = state.expect("a known engine");
            state.version = order.version;
            state.layers = order.layers;
        }
    }
    ordered
}

#[test]
fn engine_that_ignores_fences_gets_orders_only_after_the_old_lease_and_a_new_reading() {
    let inventory = inventory(
        "v1",
        &[("a-unfenced", false, 0, 12, 1), ("fenced", true, 0, 12, 0)],
    );
    let mut planner = planner();
    let plan = planner.plan(&inventory, Millis(1_000), ENDLESS_LEASE);
    assert_eq!(plan.reads, ["a-unfenced".into(), "fenced".into()]);
    assert_eq!(ordered_targets(&plan), [""; 0]);
    planner.record_state(state_with("a-unfenced", "v0", 0, 12), Millis(1_010));
    planner.record_state(state_with("fenced", "v0", 0, 12), Millis(1_010));
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_020), ENDLESS_LEASE)),
        ["fenced"]
    );
    planner.record_state(state_with("fenced", "v1", 0, 12), Millis(1_105));
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_109), ENDLESS_LEASE)),
        [""; 0]
    );
    let plan = planner.plan(&inventory, Millis(1_110), ENDLESS_LEASE);
    assert_eq!(ordered_targets(&plan), [""; 0]);
    assert!(plan.reads.contains(&"a-unfenced".into()));
    planner.record_state(state_with("a-unfenced", "v0", 0, 12), Millis(1_110));
    let plan = planner.plan(&inventory, Millis(1_111), Millis(1_150));
    assert_eq!(ordered_targets(&plan), ["a-unfenced"]);
    assert_eq!(plan.orders[0].send_before, Millis(1_150));
    assert_eq!(plan.orders[0].order.fence, FenceNumber(7));
    assert_eq!(plan.orders[0].order.sequence, 2);
}

#[test]
fn nothing_is_ordered_without_lease_or_after_a_newer_leader_was_seen() {
    let inventory = inventory("v1", &[("e", true, 0, 12, 1)]);
    let mut planner = planner();
    planner.record_state(state_with("e", "v0", 0, 12), Millis(1_200));
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_300), Millis(1_300))),
        [""; 0]
    );
    let mut by_state = planner.clone();
    let newer = EngineState {
        fence: Some(FenceNumber(8)),
        ..state_with("e", "v0", 0, 12)
    };
    by_state.record_state(newer, Millis(1_201));
    assert!(by_state.is_superseded());
    assert_eq!(
        ordered_targets(&by_state.plan(&inventory, Millis(1_300), ENDLESS_LEASE)),
        [""; 0]
    );
    let mut by_reply = planner.clone();
    by_reply.record_reply(&OrderReply::Fenced {
        newest: FenceNumber(8),
    });
    assert_eq!(
        ordered_targets(&by_reply.plan(&inventory, Millis(1_300), ENDLESS_LEASE)),
        [""; 0]
    );
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_300), ENDLESS_LEASE)),
        ["e"]
    );
}

#[test]
fn order_is_repeated_only_after_a_later_reading_shows_no_load() {
    let inventory = inventory("v1", &[("e", true, 0, 12, 1)]);
    let mut planner = planner();
    let old = state_with("e", "v0", 0, 12);
    planner.record_state(old.clone(), Millis(1_200));
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_300), ENDLESS_LEASE)),
        ["e"]
    );
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_400), ENDLESS_LEASE)),
        [""; 0]
    );
    let loading = EngineState {
        loading: true,
        ..old.clone()
    };
    planner.record_state(loading, Millis(1_410));
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_420), ENDLESS_LEASE)),
        [""; 0]
    );
    planner.record_state(old.clone(), Millis(1_405));
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_430), ENDLESS_LEASE)),
        [""; 0]
    );
    planner.record_state(old, Millis(1_440));
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_450), ENDLESS_LEASE)),
        ["e"]
    );
    planner.forget_engine(&"e".into());
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_900), ENDLESS_LEASE)),
        [""; 0]
    );
}

#[test]
fn loads_are_spread_to_stay_within_the_rate_of_the_weight_store() {
    let targets = [
        ("a", true, 0, 6, 500),
        ("b", true, 6, 12, 2_000),
        ("c", true, 0, 12, 0),
    ];
    let inventory = inventory("v1", &targets);
    let mut planner = planner();
    for (name, ..) in targets {
        planner.record_state(state_with(name, "v0", 0, 1), Millis(1_200));
    }
    let mut sent = Vec::new();
    for step in 0..40 {
        let now = Millis(1_300 + step * 100);
        let plan = planner.plan(&inventory, now, ENDLESS_LEASE);
        sent.extend(
            plan.orders
                .into_iter()
                .map(|planned| (now.0, planned.order.target.to_string())),
        );
    }
    let expected = [(1_300, "c"), (1_300, "a"), (1_800, "b")];
    assert_eq!(sent, expected.map(|(at, name)| (at, name.to_owned())));
}

#[test]
fn loads_started_by_the_former_leader_count_toward_the_rate_of_the_weight_store() {
    let inventory = inventory("v1", &[("a", true, 0, 6, 1_000), ("b", true, 6, 12, 1)]);
    let mut planner = planner();
    let loading = EngineState {
        loading: true,
        ..state_with("a", "v0", 0, 6)
    };
    planner.record_state(loading, Millis(1_200));
    planner.record_state(state_with("b", "v0", 6, 12), Millis(1_200));
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(1_300), ENDLESS_LEASE)),
        [""; 0]
    );
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(2_299), ENDLESS_LEASE)),
        [""; 0]
    );
    assert_eq!(
        ordered_targets(&planner.plan(&inventory, Millis(2_300), ENDLESS_LEASE)),
        ["b"]
    );
}

#[test]
fn engines_that_complete_a_chain_with_the_fewest_bytes_are_ordered_first() {
    let targets = [
        ("a-low", true, 0, 6, 60),
        ("b-high", true, 6, 12, 60),
        ("c-whole", true, 0, 12, 130),
        ("d-end", true, 8, 12, 10),
        ("e-start", true, 0, 8, 90),
    ];
    let inventory = inventory("v1", &targets);
    let empty: Vec<_> = targets
        .iter()
        .map(|target| state_with(target.0, "v0", 0, 1))
        .collect();
    assert_eq!(
        simulate(&inventory, empty.clone())[..2],
        ["e-start", "d-end"]
    );
    let mut low_is_up = empty;
    low_is_up[0] = state_with("a-low", "v1", 0, 6);
    assert_eq!(simulate(&inventory, low_is_up)[0], "b-high");
}

#[test]
fn upgrade_keeps_a_complete_chain_while_it_can() {
    let targets = [
        ("low-1", true, 0, 6, 10),
        ("low-2", true, 0, 6, 10),
        ("high-1", true, 6, 12, 10),
        ("high-2", true, 6, 12, 10),
    ];
    let inventory = inventory("v2", &targets);
    let old = targets.map(|target| state_with(target.0, "v1", target.2, target.3));
    let ordered = simulate(&inventory, old.to_vec());
    let lows = ordered[..2]
        .iter()
        .filter(|name| name.starts_with("low"))
        .count();
    assert_eq!(lows, 1, "one of each half first: {ordered:?}");
    assert_eq!(ordered.len(), 4);
}

#[test]
fn upgrade_of_the_only_chain_is_not_blocked() {
    let targets = [("low", true, 0, 6, 10), ("high", true, 6, 12, 10)];
    let inventory = inventory("v2", &targets);
    let old = targets.map(|target| state_with(target.0, "v1", target.2, target.3));
    assert_eq!(simulate(&inventory, old.to_vec()).len(), 2);
}

#[test]
fn engine_that_the_old_chain_needs_is_upgraded_after_one_that_it_does_not_need() {
    let targets = [
        ("low", true, 0, 6, 10),
        ("high-1", true, 6, 12, 10),
        ("high-2", true, 6, 12, 10),
    ];
    let inventory = inventory("v2", &targets);
    let old = targets.map(|target| state_with(target.0, "v1", target.2, target.3));
    assert_eq!(
        simulate(&inventory, old.to_vec()),
        ["high-1", "low", "high-2"]
    );
}
