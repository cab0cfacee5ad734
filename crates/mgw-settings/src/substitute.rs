//! Substitutes for faulty values, which let the rest of a file be checked.

use toml::{Table, Value};

use crate::locate::Step;

/// Texts from which common types can be parsed.
const PARSABLE_TEXTS: [&str; 3] = ["", "0.0.0.0:0", "0.0.0.0"];

/// Returns the value at a path, if there is one.
pub(crate) fn value_at<'a>(root: &'a Value, path: &[Step]) -> Option<&'a Value> {
    path.iter().try_fold(root, |value, step| match step {
        Step::Key(key) => value.as_table()?.get(key),
        Step::Index(index) => value.as_array()?.get(*index),
    })
}

/// Sets the value at a path, or removes the key if `value` is `None`. Returns whether that was
/// possible.
pub(crate) fn set_value(root: &mut Value, path: &[Step], value: Option<Value>) -> bool {
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    let parent = parents.iter().try_fold(root, |value, step| match step {
        Step::Key(key) => value.as_table_mut()?.get_mut(key),
        Step::Index(index) => value.as_array_mut()?.get_mut(*index),
    });
    match (parent, last, value) {
        (Some(Value::Table(table)), Step::Key(key), Some(value)) => {
            table.insert(key.clone(), value);
            true
        }
        (Some(Value::Table(table)), Step::Key(key), None) => table.remove(key).is_some(),
        (Some(Value::Array(array)), Step::Index(index), Some(value)) => {
            array.get_mut(*index).is_some_and(|slot| {
                *slot = value;
                true
            })
        }
        _ => false,
    }
}

/// Lists the substitutes to try at a path, given the error message; `None` stands for removing the
/// key.
pub(crate) fn list_substitutes(root: &Value, path: &[Step], message: &str) -> Vec<Option<Value>> {
    let mut values = vec![None];
    if let Some((Step::Index(index), array)) = path.split_last() {
        let siblings = value_at(root, array).and_then(Value::as_array);
        let siblings = siblings.into_iter().flatten().enumerate();
        let other_elements = siblings.filter(|(at, _)| at != index);
        values.extend(other_elements.map(|(_, value)| Some(value.clone())));
    }
    values.extend(PARSABLE_TEXTS.map(|text| Some(Value::String(text.to_owned()))));
    values.extend([0, 1].map(|number| Some(Value::Integer(number))));
    values.push(Some(Value::Boolean(false)));
    values.push(Some(Value::Float(1.0)));
    values.push(Some(Value::Array(Vec::new())));
    for name in list_expected(message) {
        values.push(Some(Value::String(name.to_owned())));
        let mut table = Table::new();
        table.insert(name.to_owned(), Value::Table(Table::new()));
        values.push(Some(Value::Table(table)));
    }
    values.push(Some(Value::Table(Table::new())));
    values
}

/// Returns the words in backquotes after `expected` in an error message, such as names of variants.
fn list_expected(message: &str) -> impl Iterator<Item = &str> {
    let (_, expected) = message.split_once("expected").unwrap_or(("", ""));
    expected.split('`').skip(1).step_by(2)
}
