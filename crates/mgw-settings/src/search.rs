//! Finds all faults of a table: records each fault, replaces the faulty value by a substitute, and
//! deserializes again.

use std::collections::BTreeSet;

use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::locate::Step;
use crate::substitute::{list_substitutes, set_value, value_at};

/// Maximum number of faults that are replaced by substitutes; bounds the work on a file with very many
/// faults.
const MAX_SUBSTITUTIONS: usize = 1_000;

/// One fault and the path of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fault {
    pub path: Vec<Step>,
    pub message: String,
}

/// Result of one attempt at deserializing a table.
struct Attempt<T> {
    result: Result<T, Fault>,
    /// Paths of the keys that the type doesn't know.
    unknown_keys: BTreeSet<Vec<Step>>,
}

/// Deserializes a table, or returns all of its faults.
pub(crate) fn deserialize_or_find_faults<T: DeserializeOwned>(
    table: Table,
) -> Result<T, Vec<Fault>> {
    let mut root = Value::Table(table);
    let mut faults: Vec<Fault> = Vec::new();
    for _ in 0..MAX_SUBSTITUTIONS {
        let attempt = attempt_deserialize::<T>(&root);
        let fault = match attempt.result {
            Ok(settings) => {
                add_unknown_keys(&mut faults, attempt.unknown_keys);
                return if faults.is_empty() {
                    Ok(settings)
                } else {
                    Err(faults)
                };
            }
            Err(fault) => fault,
        };
        let path = fault.path.clone();
        let message = fault.message.clone();
        if !is_consequence(&faults, &path) {
            faults.push(fault);
        }
        match substitute::<T>(&root, &path, &message) {
            Some(substituted) => root = substituted,
            None => {
                add_unknown_keys(&mut faults, attempt.unknown_keys);
                break;
            }
        }
    }
    Err(faults)
}

/// Adds a fault for each unknown key that isn't part of a value with a fault.
fn add_unknown_keys(faults: &mut Vec<Fault>, unknown_keys: BTreeSet<Vec<Step>>) {
    for path in unknown_keys {
        if !faults.iter().any(|fault| path.starts_with(&fault.path)) {
            let message = "unknown key".to_owned();
            faults.push(Fault { path, message });
        }
    }
}

/// Whether a fault at `path` may be a consequence of the substitute for an earlier fault.
fn is_consequence(faults: &[Fault], path: &[Step]) -> bool {
    let is_same_branch =
        |fault: &Fault| path.starts_with(&fault.path) || fault.path.starts_with(path);
    faults.iter().any(is_same_branch)
}

/// Finds a substitute, for the value at `path` or one of those that enclose it, that lets
/// deserialization get past the fault.
fn substitute<T: DeserializeOwned>(root: &Value, path: &[Step], message: &str) -> Option<Value> {
    let mut target_path = path;
    while !target_path.is_empty() {
        for value in list_substitutes(root, target_path, message) {
            let mut substituted = root.clone();
            if !set_value(&mut substituted, target_path, value) {
                continue;
            }
            let next_fault = attempt_deserialize::<T>(&substituted).result.err();
            let is_past = next_fault.is_none_or(|next| !target_path.starts_with(&next.path));
            if is_past {
                return Some(substituted);
            }
        }
        target_path = &target_path[..target_path.len() - 1];
    }
    None
}

fn attempt_deserialize<T: DeserializeOwned>(root: &Value) -> Attempt<T> {
    let mut unknown_keys = BTreeSet::new();
    let mut record_unknown_key = |path: serde_ignored::Path<'_>| {
        unknown_keys.insert(to_steps(&path));
    };
    let deserializer = serde_ignored::Deserializer::new(root.clone(), &mut record_unknown_key);
    let result = serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let message = error.inner().message().trim_end().to_owned();
        locate_fault(root, error.path(), message)
    });
    Attempt {
        result,
        unknown_keys,
    }
}

/// Converts an error into a fault, whose path leads to the key that is missing or unknown.
fn locate_fault(root: &Value, path: &serde_path_to_error::Path, message: String) -> Fault {
    let mut steps = Vec::new();
    for segment in path {
        let step = match segment {
            serde_path_to_error::Segment::Seq { index } => Step::Index(*index),
            serde_path_to_error::Segment::Map { key } => Step::Key(key.clone()),
            serde_path_to_error::Segment::Enum { variant } => Step::Key(variant.clone()),
            serde_path_to_error::Segment::Unknown => break,
        };
        steps.push(step);
        if value_at(root, &steps).is_none() {
            steps.pop();
            break;
        }
    }
    if let Some(key) = quoted_after(&message, "missing field ") {
        steps.push(Step::Key(key));
        let message = "missing key".to_owned();
        return Fault {
            path: steps,
            message,
        };
    }
    if let Some(key) = quoted_after(&message, "unknown field ") {
        let step = Step::Key(key);
        if steps.last() != Some(&step) {
            steps.push(step);
        }
        let message = message.replacen("unknown field", "unknown key", 1);
        return Fault {
            path: steps,
            message,
        };
    }
    Fault {
        path: steps,
        message,
    }
}

/// Returns the word in backquotes that follows a prefix.
fn quoted_after(message: &str, prefix: &str) -> Option<String> {
    let rest = message.strip_prefix(prefix)?.strip_prefix('`')?;
    let (word, _) = rest.split_once('`')?;
    Some(word.to_owned())
}

fn to_steps(path: &serde_ignored::Path<'_>) -> Vec<Step> {
    use serde_ignored::Path;
    let (parent, step) = match path {
        Path::Root => return Vec::new(),
        Path::Seq { parent, index } => (parent, Some(Step::Index(*index))),
        Path::Map { parent, key } => (parent, Some(Step::Key(key.clone()))),
        Path::Some { parent }
        | Path::NewtypeStruct { parent }
        | Path::NewtypeVariant { parent } => (parent, None),
    };
    let mut steps = to_steps(parent);
    steps.extend(step);
    steps
}
