//! Status of entries and targets in the form of the operator API.

use mgw_contract::operator::{EntryStatus, TargetStatus};
use mgw_contract::target::Readiness;
use mgw_world::{EntryName, Millis, TargetKind};

use crate::{NodePhase, NodeRole, NodeStatus, View, VouchState};

impl View {
    /// The entries that are alive, in order of id. `in_flight` is `None`: the view doesn't have it.
    #[must_use]
    pub fn describe_entries(&self, now: Millis) -> Vec<EntryStatus> {
        let nodes = self.nodes(now);
        let is_alive_entry =
            |node: &&NodeStatus<'_>| node.info.role == NodeRole::Entry && node.is_alive;
        nodes
            .iter()
            .filter(is_alive_entry)
            .map(describe_entry)
            .collect()
    }

    /// All known targets in order of name, with the in-flight requests that they reported.
    #[must_use]
    pub fn describe_targets(&self, now: Millis) -> Vec<TargetStatus> {
        self.targets(now).iter().map(describe_target).collect()
    }
}

fn describe_entry(node: &NodeStatus<'_>) -> EntryStatus {
    EntryStatus {
        name: EntryName::from(node.info.name.as_str()),
        place: node.info.place.clone(),
        url: node.info.url.clone(),
        revision: node.info.revision,
        leaving: node.info.phase == NodePhase::Leaving,
        in_flight: None,
        silent_ms: node.age_ms,
    }
}

fn describe_target(status: &crate::TargetStatus<'_>) -> TargetStatus {
    let target = status.target;
    let duty = match &target.duty {
        TargetKind::Engine(engine) => {
            format!(
                "{} {} layers {}",
                engine.model, engine.version, engine.layers
            )
        }
        TargetKind::Plain { service } => service.to_string(),
        TargetKind::Forwarding(engine) => match engine.layers {
            Some(layers) => format!("{} layers {layers}", engine.service),
            None => format!("{} without layers", engine.service),
        },
    };
    let readiness = match status.state {
        VouchState::Announced(readiness) => readiness,
        VouchState::Drained | VouchState::Lapsed => Readiness::Leaving,
    };
    TargetStatus {
        name: target.name.clone(),
        place: target.place.clone(),
        duty,
        readiness,
        in_flight: status.load.in_flight,
        age_ms: status.age_ms,
        in_choice: status.ineligible_reason.is_none(),
    }
}
