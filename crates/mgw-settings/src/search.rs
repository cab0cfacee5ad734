//! Search for all faults of a table: each fault is noted, mended and the rest parsed again.

use std::collections::BTreeSet;

use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::locate::Step;
use crate::mend::{list_values, put_value, value_at};

/// Bounds the work on a hopeless file.
const MAX_ROUNDS: usize = 1_000;

/// One fault and the path of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fault {
    pub path: Vec<Step>,
    pub message: String,
}

/// The result of one parse.
struct Round<T> {
    result: Result<T, Fault>,
    unknown: BTreeSet<Vec<Step>>,
}

/// Deserializes a table, or gives all of its faults.
pub(crate) fn search_faults<T: DeserializeOwned>(table: Table) -> Result<T, Vec<Fault>> {
    let mut root = Value::Table(table);
    let mut faults: Vec<Fault> = Vec::new();
    for _ in 0..MAX_ROUNDS {
        let round = parse_round::<T>(&root);
        let fault = match round.result {
            Ok(settings) => {
                add_unknown(&mut faults, round.unknown);
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
        if !is_covered(&faults, &path) {
            faults.push(fault);
        }
        match mend::<T>(&root, &path, &message) {
            Some(mended) => root = mended,
            None => {
                add_unknown(&mut faults, round.unknown);
                break;
            }
        }
    }
    Err(faults)
}

fn add_unknown(faults: &mut Vec<Fault>, unknown: BTreeSet<Vec<Step>>) {
    for path in unknown {
        if !faults.iter().any(|fault| path.starts_with(&fault.path)) {
            let message = "unknown key".to_owned();
            faults.push(Fault { path, message });
        }
    }
}

/// Whether a fault is a consequence of a value that was put in for an earlier one.
fn is_covered(faults: &[Fault], path: &[Step]) -> bool {
    let is_near = |fault: &Fault| path.starts_with(&fault.path) || fault.path.starts_with(path);
    faults.iter().any(is_near)
}

/// Finds a replacement that lets the parse get past a fault, at its path or around it.
fn mend<T: DeserializeOwned>(root: &Value, path: &[Step], message: &str) -> Option<Value> {
    let mut place = path;
    while !place.is_empty() {
        for value in list_values(root, place, message) {
            let mut mended = root.clone();
            if !put_value(&mut mended, place, value) {
                continue;
            }
            let next = parse_round::<T>(&mended).result.err();
            let is_past = next.is_none_or(|next| !place.starts_with(&next.path));
            if is_past {
                return Some(mended);
            }
        }
        place = &place[..place.len() - 1];
    }
    None
}

fn parse_round<T: DeserializeOwned>(root: &Value) -> Round<T> {
    let mut unknown = BTreeSet::new();
    let mut note_unknown = |path: serde_ignored::Path<'_>| {
        unknown.insert(to_steps(&path));
    };
    let deserializer = serde_ignored::Deserializer::new(root.clone(), &mut note_unknown);
    let result = serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let message = error.inner().message().trim_end().to_owned();
        locate_fault(root, error.path(), message)
    });
    Round { result, unknown }
}

/// The fault's path, down to the key that is missing or unknown.
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

/// The word in backquotes that follows a prefix.
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
