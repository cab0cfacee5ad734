//! A difference in words, for the audit trail.

use mgw_world::{Link, Model, Place, Service, Vm, Workspace};
use serde::Serialize;

use super::diff::Keyed;
use super::{ConfigDiff, SectionDiff};
use crate::{ExpectedTarget, Inventory, Operator};

/// Fields whose values aren't shown.
const HIDDEN_FIELDS: [&str; 1] = ["key_sha256"];

impl ConfigDiff {
    /// Lists what was added, removed and changed, object by object; `old` is what it starts from.
    #[must_use]
    pub fn describe(&self, old: &Inventory) -> String {
        let mut parts = Vec::new();
        describe_section(
            &mut parts,
            "places",
            &self.places,
            &old.places,
            |one: &Place| one.name.to_string(),
        );
        describe_section(&mut parts, "vms", &self.vms, &old.vms, |one: &Vm| {
            one.name.to_string()
        });
        describe_section(
            &mut parts,
            "links",
            &self.links,
            &old.links,
            |one: &Link| format!("{}~{}", one.from, one.to),
        );
        describe_section(
            &mut parts,
            "models",
            &self.models,
            &old.models,
            |one: &Model| one.name.to_string(),
        );
        describe_section(
            &mut parts,
            "services",
            &self.services,
            &old.services,
            |one: &Service| one.name.to_string(),
        );
        describe_section(
            &mut parts,
            "workspaces",
            &self.workspaces,
            &old.workspaces,
            |one: &Workspace| one.name.to_string(),
        );
        describe_section(
            &mut parts,
            "targets",
            &self.targets,
            &old.targets,
            |one: &ExpectedTarget| one.name.to_string(),
        );
        describe_section(
            &mut parts,
            "operators",
            &self.operators,
            &old.operators,
            |one: &Operator| one.name.to_string(),
        );
        if let Some(rules) = &self.rules {
            parts.push(format!("~rules: {}", describe_fields(&old.rules, rules)));
        }
        parts.join("; ")
    }
}

fn describe_section<T: Keyed + Serialize>(
    parts: &mut Vec<String>,
    section: &str,
    diff: &SectionDiff<T, T::Key>,
    old: &[T],
    name: impl Fn(&T) -> String,
) {
    for key in &diff.removed {
        let gone = old.iter().find(|object| object.key() == *key);
        parts.extend(gone.map(|object| format!("-{section}.{}", name(object))));
    }
    for object in &diff.put {
        let label = name(object);
        match old.iter().find(|before| before.key() == object.key()) {
            None => parts.push(format!("+{section}.{label}")),
            Some(before) => {
                let fields = describe_fields(before, object);
                parts.push(format!("~{section}.{label}: {fields}"));
            }
        }
    }
}

/// Shows the fields that differ as `name before -> after`.
fn describe_fields<T: Serialize>(before: &T, after: &T) -> String {
    let (Ok(before), Ok(after)) = (toml::Table::try_from(before), toml::Table::try_from(after))
    else {
        return "changed".to_owned();
    };
    let names = before
        .keys()
        .chain(after.keys().filter(|name| !before.contains_key(*name)));
    let changed = names.filter(|name| before.get(*name) != after.get(*name));
    let shown = changed.map(|name| {
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
    shown.collect::<Vec<_>>().join(", ")
}

fn show_value(value: &toml::Value) -> String {
    value.to_string().trim().to_owned()
}
