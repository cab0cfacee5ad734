//! Describes a difference as text for the audit trail.

use mgw_world::{Link, Model, Place, Service, Vm, Workspace};
use serde::Serialize;

use super::diff::Keyed;
use super::{ConfigDiff, SectionDiff};
use crate::{ExpectedTarget, Inventory, Operator};

/// Fields whose values must not appear in the audit trail.
const HIDDEN_FIELDS: [&str; 1] = ["key_sha256"];

impl ConfigDiff {
    /// Lists the added (`+`), removed (`-`) and changed (`~`) objects; `old` is the configuration
    /// that the difference starts at.
    #[must_use]
    pub fn describe(&self, old: &Inventory) -> String {
        let mut descriptions = Vec::new();
        describe_section(
            &mut descriptions,
            "places",
            &self.places,
            &old.places,
            |place: &Place| place.name.to_string(),
        );
        describe_section(&mut descriptions, "vms", &self.vms, &old.vms, |vm: &Vm| {
            vm.name.to_string()
        });
        describe_section(
            &mut descriptions,
            "links",
            &self.links,
            &old.links,
            |link: &Link| format!("{}~{}", link.from, link.to),
        );
        describe_section(
            &mut descriptions,
            "models",
            &self.models,
            &old.models,
            |model: &Model| model.name.to_string(),
        );
        describe_section(
            &mut descriptions,
            "services",
            &self.services,
            &old.services,
            |service: &Service| service.name.to_string(),
        );
        describe_section(
            &mut descriptions,
            "workspaces",
            &self.workspaces,
            &old.workspaces,
            |workspace: &Workspace| workspace.name.to_string(),
        );
        describe_section(
            &mut descriptions,
            "targets",
            &self.targets,
            &old.targets,
            |target: &ExpectedTarget| target.name.to_string(),
        );
        describe_section(
            &mut descriptions,
            "operators",
            &self.operators,
            &old.operators,
            |operator: &Operator| operator.name.to_string(),
        );
        if let Some(rules) = &self.rules {
            descriptions.push(format!("~rules: {}", describe_fields(&old.rules, rules)));
        }
        descriptions.join("; ")
    }
}

fn describe_section<T: Keyed + Serialize>(
    descriptions: &mut Vec<String>,
    section: &str,
    diff: &SectionDiff<T, T::Key>,
    old: &[T],
    name: impl Fn(&T) -> String,
) {
    for key in &diff.removed {
        let removed = old.iter().find(|object| object.key() == *key);
        descriptions.extend(removed.map(|object| format!("-{section}.{}", name(object))));
    }
    for object in &diff.put {
        let label = name(object);
        match old.iter().find(|before| before.key() == object.key()) {
            None => descriptions.push(format!("+{section}.{label}")),
            Some(before) => {
                let fields = describe_fields(before, object);
                descriptions.push(format!("~{section}.{label}: {fields}"));
            }
        }
    }
}

/// Lists the fields that differ, each as `name before -> after`.
fn describe_fields<T: Serialize>(before: &T, after: &T) -> String {
    let (Ok(before), Ok(after)) = (toml::Table::try_from(before), toml::Table::try_from(after))
    else {
        return "changed".to_owned();
    };
    let names = before
        .keys()
        .chain(after.keys().filter(|name| !before.contains_key(*name)));
    let changed = names.filter(|name| before.get(*name) != after.get(*name));
    let field_descriptions = changed.map(|name| {
        if HIDDEN_FIELDS.contains(&name.as_str()) {
            return format!("{name} changed");
        }
        let show = |value: Option<&toml::Value>| value.map_or("none".to_owned(), show_value);
        format!(
            "{name} {} -> {}",
            show(before.get(name)),
            show(after.get(name))
        )
    });
    field_descriptions.collect::<Vec<_>>().join(", ")
}

fn show_value(value: &toml::Value) -> String {
    value.to_string().trim().to_owned()
}
