//! Objects of the inventory.

use mgw_settings::Findings;
use mgw_world::{
    AdapterName, LayerRange, Link, Model, ModelName, ModelVersion, Place, PlaceName, Service,
    ServiceName, TargetName, Vm, VmName, Workspace,
};
use serde::{Deserialize, Serialize};

use super::{Operator, Rules};

/// What an engine shall hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Model.
    pub model: ModelName,
    /// Version of the weights; the model's own version when absent.
    #[serde(default)]
    pub version: Option<ModelVersion>,
    /// Adapter beside them.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// Layers.
    pub layers: LayerRange,
    /// Bytes that the weight store sends for them.
    pub weight_bytes: u64,
}

/// What an expected target is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectedDuty {
    /// Runs layers.
    Engine(Holding),
    /// Answers the calls of a plain service.
    Plain {
        /// Service answered for.
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
    /// Machine that it runs on.
    pub vm: VmName,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// What it is for.
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
    /// Machines.
    pub vms: Vec<Vm>,
    /// Links between places.
    pub links: Vec<Link>,
    /// Models.
    pub models: Vec<Model>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces of customers.
    pub workspaces: Vec<Workspace>,
    /// Targets expected.
    pub targets: Vec<ExpectedTarget>,
    /// Operators and the hashes of their keys.
    pub operators: Vec<Operator>,
    /// Rules.
    pub rules: Rules,
}

impl Inventory {
    /// Parses and checks a configuration; objects come out sorted by name.
    ///
    /// # Errors
    /// All faults found, each with line and key; `file` is named in them.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut inventory: Self = mgw_settings::parse(file, text)?;
        let all = super::check::check_inventory(&inventory, file, text);
        if !all.is_empty() {
            return Err(Findings { all });
        }
        inventory.sort();
        Ok(inventory)
    }

    /// Writes the configuration as TOML, without the operators' comments.
    #[must_use]
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Whether the key belongs to the operator.
    #[must_use]
    pub fn authenticate(&self, name: &str, key: &str) -> bool {
        let operator = self.operators.iter().find(|one| one.name.as_str() == name);
        operator.is_some_and(|operator| operator.accepts(key))
    }

    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// The model of a name.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// The machine of a name.
    #[must_use]
    pub fn vm(&self, name: &VmName) -> Option<&Vm> {
        self.vms.iter().find(|vm| vm.name == *name)
    }

    /// The link between two places, in either direction.
    #[must_use]
    pub fn link(&self, from: &PlaceName, to: &PlaceName) -> Option<&Link> {
        self.links.iter().find(|link| {
            (link.from == *from && link.to == *to) || (link.from == *to && link.to == *from)
        })
    }

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
