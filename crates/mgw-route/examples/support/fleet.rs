//! Fleets of targets with mixed speeds.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use mgw_world::{Engine, Incarnation, LayerRange, Limits, Link, Model, Target, TargetKind};

/// Number of layers of the model.
pub const LAYERS: u16 = 24;

/// The composition of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Three stages of eight layers, four speeds, one place.
    Even,
    /// Stages of 8 and of 12 layers in parallel, five speeds, three places, one slow link.
    Mixed,
}

/// Creates the model, targets and links of a fleet.
pub fn make_fleet(shape: Shape) -> (Model, Vec<Arc<Target>>, Vec<Link>) {
    let model = Model {
        name: "drill".into(),
        version: "v1".into(),
        layers: LAYERS,
        activation_bytes: 8_192,
        kv_bytes_per_layer: 1_024,
    };
    let targets = match shape {
        Shape::Even => even_targets(),
        Shape::Mixed => mixed_targets(),
    };
    let links = match shape {
        Shape::Even => Vec::new(),
        Shape::Mixed => vec![
            make_link("pos-a", "sfo-b", 100_000_000),
            make_link("pos-a", "chg-c", 4_000_000),
            make_link("sfo-b", "chg-c", 100_000_000),
        ],
    };
    (model, targets, links)
}

fn even_targets() -> Vec<Arc<Target>> {
    let mut targets = Vec::new();
    for (first, speeds) in [
        (0, [800, 400, 400, 200, 200, 100]),
        (8, [800, 800, 400, 200, 100, 100]),
        (16, [400, 400, 400, 400, 200, 100]),
    ] {
        for speed in speeds {
            targets.push(make_target(targets.len(), "pos-a", first, first + 8, speed));
        }
    }
    targets
}

fn mixed_targets() -> Vec<Arc<Target>> {
    let ranges = [(0, 8), (8, 16), (16, 24), (0, 12), (12, 24)];
    let speeds = [50, 100, 200, 400, 800];
    let places = ["pos-a", "sfo-b", "chg-c"];
    let mut targets = Vec::new();
    for (row, (first, end)) in ranges.into_iter().enumerate() {
        for (column, place) in places.into_iter().enumerate() {
            for copy in 0..2 {
                let speed = speeds[(row * 2 + column * 3 + copy) % speeds.len()];
                targets.push(make_target(targets.len(), place, first, end, speed));
            }
        }
    }
    targets
}

fn make_link(from: &str, to: &str, bytes_per_s: u64) -> Link {
    Link {
        from: from.into(),
        to: to.into(),
        latency_us: 300,
        bytes_per_s,
    }
}

/// Creates a target that runs the layers `first..end` at `tokens_per_s`.
pub fn make_target(
    index: usize,
    place: &str,
    first: u16,
    end: u16,
    tokens_per_s: u32,
) -> Arc<Target> {
    let layers = LayerRange::new(first, end).expect("the layer range isn't empty");
    Arc::new(Target {
        name: format!("t{index:03}").into(),
        incarnation: Incarnation(1),
        vm: format!("vm{index:03}").into(),
        place: place.into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000 + index as u16)),
        duty: TargetKind::Engine(Engine {
            model: "drill".into(),
            version: "v1".into(),
            adapter: None,
            layers,
            accelerator: "a".into(),
        }),
        limits: Limits {
            max_requests: 4_096,
            kv_bytes: u64::MAX,
            tokens_per_s,
        },
    })
}
