//! Checks a parsed configuration as a whole: duplicate names, references and value ranges.

use std::collections::{BTreeMap, BTreeSet};

use mgw_settings::{Finding, line_of_key};
use mgw_world::{ModelName, Service, ServiceKind};

use super::{ExpectedDuty, Holding, Inventory, Rules};

const KEY_HASH_DIGITS: usize = 64;

/// Collects the findings for one configuration text.
struct Checker<'a> {
    file: &'a str,
    text: &'a str,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    /// Adds a finding at the line of its key.
    fn report(&mut self, key: String, message: String) {
        self.findings.push(Finding {
            file: self.file.to_owned(),
            line: line_of_key(self.text, &key),
            key,
            message,
        });
    }

    /// Reports empty and duplicate names; returns the set of names.
    fn check_names<'n>(
        &mut self,
        section: &str,
        names: impl Iterator<Item = &'n str>,
    ) -> BTreeSet<&'n str> {
        let mut index_by_name = BTreeMap::new();
        for (index, name) in names.enumerate() {
            let key = format!("{section}[{index}].name");
            if name.is_empty() {
                self.report(key, "the name is empty".to_owned());
            } else if let Some(first) = index_by_name.get(name) {
                let message = format!("`{name}` is already the name of {section}[{first}]");
                self.report(key, message);
            } else {
                index_by_name.insert(name, index);
            }
        }
        index_by_name.into_keys().collect()
    }

    /// Reports a reference to a name that isn't defined.
    fn check_reference(&mut self, key: String, kind: &str, name: &str, defined: &BTreeSet<&str>) {
        if !defined.contains(name) {
            self.report(key, format!("there is no {kind} `{name}`"));
        }
    }

    /// Reports a value of zero.
    fn check_positive(&mut self, key: &str, value: u64) {
        if value == 0 {
            self.report(key.to_owned(), "must be more than zero".to_owned());
        }
    }
}

/// Checks a parsed configuration; returns all findings, sorted by line and key.
pub(super) fn check_inventory(inventory: &Inventory, file: &str, text: &str) -> Vec<Finding> {
    let mut checker = Checker {
        file,
        text,
        findings: Vec::new(),
    };
    check_topology(&mut checker, inventory);
    check_services(&mut checker, inventory);
    check_targets(&mut checker, inventory);
    check_operators(&mut checker, inventory);
    check_rules(&mut checker, &inventory.rules);
    let mut findings = checker.findings;
    findings.sort_by(|left, right| (left.line, &left.key).cmp(&(right.line, &right.key)));
    findings
}

fn check_topology(checker: &mut Checker<'_>, inventory: &Inventory) {
    let names = inventory.places.iter().map(|place| place.name.as_str());
    let places = checker.check_names("places", names);
    for (index, place) in inventory.places.iter().enumerate() {
        if place.region.as_str().is_empty() {
            let key = format!("places[{index}].region");
            checker.report(key, "the region is empty".to_owned());
        }
    }
    checker.check_names("vms", inventory.vms.iter().map(|vm| vm.name.as_str()));
    for (index, vm) in inventory.vms.iter().enumerate() {
        let key = format!("vms[{index}].place");
        checker.check_reference(key, "place", vm.place.as_str(), &places);
    }
    let mut linked_pairs = BTreeMap::new();
    for (index, link) in inventory.links.iter().enumerate() {
        let (from, to) = (link.from.as_str(), link.to.as_str());
        checker.check_reference(format!("links[{index}].from"), "place", from, &places);
        checker.check_reference(format!("links[{index}].to"), "place", to, &places);
        checker.check_positive(&format!("links[{index}].bytes_per_s"), link.bytes_per_s);
        let pair = (from.min(to), from.max(to));
        if let Some(first) = linked_pairs.get(&pair) {
            let message = format!("links[{first}] already joins `{from}` and `{to}`");
            checker.report(format!("links[{index}]"), message);
        } else {
            linked_pairs.insert(pair, index);
        }
    }
}

fn check_services(checker: &mut Checker<'_>, inventory: &Inventory) {
    let names = inventory.models.iter().map(|model| model.name.as_str());
    let models = checker.check_names("models", names);
    for (index, model) in inventory.models.iter().enumerate() {
        checker.check_positive(&format!("models[{index}].layers"), model.layers.into());
    }
    let names = inventory
        .services
        .iter()
        .map(|service| service.name.as_str());
    checker.check_names("services", names);
    for (index, service) in inventory.services.iter().enumerate() {
        let key = format!("services[{index}].kind");
        match &service.kind {
            ServiceKind::Model(name) => {
                checker.check_reference(key, "model", name.as_str(), &models);
            }
            ServiceKind::Plain { once_paths } => {
                for path in once_paths.iter().filter(|path| !path.starts_with('/')) {
                    let message = format!("the path `{path}` must start with `/`");
                    checker.report(key.clone(), message);
                }
            }
        }
    }
    let names = inventory
        .workspaces
        .iter()
        .map(|workspace| workspace.name.as_str());
    checker.check_names("workspaces", names);
    for (index, workspace) in inventory.workspaces.iter().enumerate() {
        let key = format!("workspaces[{index}].weight");
        checker.check_positive(&key, workspace.weight.into());
    }
}

fn check_targets(checker: &mut Checker<'_>, inventory: &Inventory) {
    let vms = inventory.vms.iter().map(|vm| vm.name.as_str()).collect();
    let plain_services = inventory
        .services
        .iter()
        .filter(|service| is_plain(service));
    let services = plain_services
        .map(|service| service.name.as_str())
        .collect();
    let model_layers = inventory
        .models
        .iter()
        .map(|model| (&model.name, model.layers));
    let model_layers: BTreeMap<_, _> = model_layers.collect();
    let names = inventory.targets.iter().map(|target| target.name.as_str());
    checker.check_names("targets", names);
    for (index, target) in inventory.targets.iter().enumerate() {
        checker.check_reference(
            format!("targets[{index}].vm"),
            "VM",
            target.vm.as_str(),
            &vms,
        );
        let key = format!("targets[{index}].duty");
        match &target.duty {
            ExpectedDuty::Engine(holding) => check_holding(checker, &key, holding, &model_layers),
            ExpectedDuty::Plain { service } => {
                checker.check_reference(key, "plain service", service.as_str(), &services);
            }
        }
    }
}

const fn is_plain(service: &Service) -> bool {
    matches!(service.kind, ServiceKind::Plain { .. })
}

/// Reports an unknown model, or layers that the model doesn't have.
fn check_holding(
    checker: &mut Checker<'_>,
    key: &str,
    holding: &Holding,
    model_layers: &BTreeMap<&ModelName, u16>,
) {
    match model_layers.get(&holding.model) {
        None => {
            let message = format!("there is no model `{}`", holding.model);
            checker.report(format!("{key}.engine.model"), message);
        }
        Some(count) if holding.layers.end() > *count => {
            let message = format!("layers {} end past the model's {count}", holding.layers);
            checker.report(format!("{key}.engine.layers"), message);
        }
        Some(_) => {}
    }
}

fn check_operators(checker: &mut Checker<'_>, inventory: &Inventory) {
    let names = inventory
        .operators
        .iter()
        .map(|operator| operator.name.as_str());
    checker.check_names("operators", names);
    if inventory.operators.is_empty() {
        let message = "there is no operator; nobody could make the next change".to_owned();
        checker.report("operators".to_owned(), message);
    }
    for (index, operator) in inventory.operators.iter().enumerate() {
        let hash = &operator.key_sha256;
        let is_hex = hash.bytes().all(|byte| byte.is_ascii_hexdigit());
        if hash.len() != KEY_HASH_DIGITS || !is_hex {
            let message = format!("must be {KEY_HASH_DIGITS} hexadecimal digits");
            checker.report(format!("operators[{index}].key_sha256"), message);
        }
    }
}

fn check_rules(checker: &mut Checker<'_>, rules: &Rules) {
    let positive = [
        ("rules.ledger.window_ms", rules.ledger.window_ms.0),
        ("rules.ledger.max_claims", rules.ledger.max_claims.into()),
        (
            "rules.requests.default_deadline_ms",
            rules.requests.default_deadline_ms.0,
        ),
        (
            "rules.requests.address_valid_ms",
            rules.requests.address_valid_ms.0,
        ),
        ("rules.audit_records", rules.audit_records.into()),
        ("rules.remembered_changes", rules.remembered_changes.into()),
        (
            "rules.weight_store_bytes_per_s",
            rules.weight_store_bytes_per_s,
        ),
    ];
    for (key, value) in positive {
        checker.check_positive(key, value);
    }
    if rules.requests.default_deadline_ms > rules.requests.max_deadline_ms {
        let message = "must not be less than `default_deadline_ms`".to_owned();
        checker.report("rules.requests.max_deadline_ms".to_owned(), message);
    }
    if rules.requests.retry_budget_percent > 100 {
        let message = "must not be more than 100".to_owned();
        checker.report("rules.requests.retry_budget_percent".to_owned(), message);
    }
}
