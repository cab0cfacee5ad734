//! [`Inventory`] and the targets that it expects.

use mgw_settings::Findings;
use mgw_world::{
    AdapterName, LayerRange, Link, Model, ModelName, ModelVersion, Place, PlaceName, Service,
    ServiceName, TargetName, Vm, VmName, Workspace,
};
use serde::{Deserialize, Serialize};

use super::{Operator, Rules};

/// The model layers and the adapter that an engine is to have loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Model whose layers the engine runs.
    pub model: ModelName,
    /// Version of the weights; the version that the model states when absent.
    #[serde(default)]
    pub version: Option<ModelVersion>,
    /// Adapter to load with the weights, if any.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// Range of layers.
    pub layers: LayerRange,
    /// Bytes that the weight store sends for these layers.
    pub weight_bytes: u64,
}

/// The purpose of an expected target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectedDuty {
    /// Runs layers of a model.
    Engine(Holding),
    /// Serves the calls of a plain service.
    Plain {
        /// The plain service.
        service: ServiceName,
    },
}

/// A target that the operators expect to announce itself.
///
/// In TOML: `duty = { engine = { model = "drill", layers = { first = 0, end = 8 },
/// weight_bytes = 1000 } }` or `duty = { plain = { service = "train-app" } }`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpectedTarget {
    /// Name of the target.
    pub name: TargetName,
    /// Machine that the target runs on.
    pub vm: VmName,
    /// Whether the target refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Purpose of the target.
    pub duty: ExpectedDuty,
}

/// The whole configuration: inventory and rules.
///
/// ```
/// let text = mgw_state::Inventory::default().to_toml();
/// assert!(text.contains("[rules"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Inventory {
    /// Availability zones.
    pub places: Vec<Place>,
    /// Machines (VMs) and the availability zones they are in.
    pub vms: Vec<Vm>,
    /// Network links between places.
    pub links: Vec<Link>,
    /// Models that services run.
    pub models: Vec<Model>,
    /// Services that callers can call.
    pub services: Vec<Service>,
    /// Workspaces, one for each customer.
    pub workspaces: Vec<Workspace>,
    /// Targets that are expected to announce themselves.
    pub targets: Vec<ExpectedTarget>,
    /// Operators and the hashes of their keys.
    pub operators: Vec<Operator>,
    /// Limits and other rules.
    pub rules: Rules,
}

impl Inventory {
    /// Parses and checks a configuration; sorts the objects of each section by name.
    ///
    /// # Errors
    /// All faults found, each with line and key; `file` is the file name that they state.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut inventory: Self = mgw_settings::parse(file, text)?;
        let findings = super::check::check_inventory(&inventory, file, text);
        if !findings.is_empty() {
            return Err(Findings { all: findings });
        }
        inventory.sort();
        Ok(inventory)
    }

    /// Formats the configuration as TOML; comments of the operators' text are lost.
    #[must_use]
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Whether the operator exists and has this key.
    #[must_use]
    pub fn authenticate(&self, name: &str, key: &str) -> bool {
        let operator = self
            .operators
            .iter()
            .find(|operator| operator.name.as_str() == name);
        operator.is_some_and(|operator| operator.accepts(key))
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns the model with this name.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Returns the machine with this name.
    #[must_use]
    pub fn vm(&self, name: &VmName) -> Option<&Vm> {
        self.vms.iter().find(|vm| vm.name == *name)
    }

    /// Returns the link between two places, whichever of them it starts at.
    #[must_use]
    pub fn link(&self, from: &PlaceName, to: &PlaceName) -> Option<&Link> {
        self.links.iter().find(|link| {
            (link.from == *from && link.to == *to) || (link.from == *to && link.to == *from)
        })
    }

    /// Sorts each section by name, links by their places.
    fn sort(&mut self) {
        self.places
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.vms.sort_by(|left, right| left.name.cmp(&right.name));
        self.links
            .sort_by(|left, right| (&left.from, &left.to).cmp(&(&right.from, &right.to)));
        self.models
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.services
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.workspaces
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.targets
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.operators
            .sort_by(|left, right| left.name.cmp(&right.name));
    }
}
