//! Lines of keys within a TOML text.

use toml_edit::{Document, Item, TableLike};

/// One step from a value to a value inside it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    Key(String),
    Index(usize),
}

/// The line, from one, of a key such as `vms[2].place`; of the innermost part that exists if the
/// key itself is absent; zero if no part of it exists.
///
/// ```
/// let text = "[[vms]]\nname = \"a\"\n\n[[vms]]\nname = \"b\"\n";
/// assert_eq!(mgw_settings::line_of_key(text, "vms[1].name"), 5);
/// assert_eq!(mgw_settings::line_of_key(text, "vms[1].place"), 4);
/// ```
#[must_use]
pub fn line_of_key(text: &str, key: &str) -> u32 {
    match Document::parse(text) {
        Ok(document) => find_line(&document, text, &split_key(key)),
        Err(_) => 0,
    }
}

/// The line of the innermost part of a path that exists.
pub(crate) fn find_line<S>(document: &Document<S>, text: &str, path: &[Step]) -> u32 {
    let mut line = 0;
    let mut here = Node::Item(document.as_item());
    for step in path {
        let Some((next, offset)) = here.enter(step) else {
            break;
        };
        if let Some(offset) = offset {
            line = line_of(text, offset);
        }
        here = next;
    }
    line
}

/// The line, from one, of a byte offset.
pub(crate) fn line_of(text: &str, offset: usize) -> u32 {
    let before = text.as_bytes().iter().take(offset);
    let breaks = before.filter(|byte| **byte == b'\n').count();
    u32::try_from(breaks + 1).unwrap_or(u32::MAX)
}

/// Shows a path as `vms[2].place`.
pub(crate) fn show_path(path: &[Step]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Index(index) => text.push_str(&format!("[{index}]")),
            Step::Key(key) => {
                if !text.is_empty() {
                    text.push('.');
                }
                text.push_str(key);
            }
        }
    }
    text
}

/// Splits `vms[2].place` into its steps.
pub(crate) fn split_key(key: &str) -> Vec<Step> {
    let mut steps = Vec::new();
    for part in key.split('.').filter(|part| !part.is_empty()) {
        let mut pieces = part.split('[');
        let name = pieces.next().unwrap_or_default();
        if !name.is_empty() {
            steps.push(Step::Key(name.to_owned()));
        }
        let indexes = pieces.filter_map(|piece| piece.trim_end_matches(']').parse().ok());
        steps.extend(indexes.map(Step::Index));
    }
    steps
}

/// A value of the document.
enum Node<'a> {
    Item(&'a Item),
    Table(&'a dyn TableLike),
    Value(&'a toml_edit::Value),
}

impl<'a> Node<'a> {
    /// The value one step inside and the offset at which it starts.
    fn enter(&self, step: &Step) -> Option<(Self, Option<usize>)> {
        match step {
            Step::Key(name) => {
                let (key, item) = self.as_table()?.get_key_value(name)?;
                let start = key.span().or_else(|| item.span());
                Some((Node::Item(item), start.map(|span| span.start)))
            }
            Step::Index(index) => self.enter_index(*index),
        }
    }

    fn enter_index(&self, index: usize) -> Option<(Self, Option<usize>)> {
        let array = match self {
            Node::Item(Item::ArrayOfTables(tables)) => {
                let table = tables.get(index)?;
                let start = table.span().map(|span| span.start);
                return Some((Node::Table(table), start));
            }
            Node::Item(item) => item.as_array()?,
            Node::Value(value) => value.as_array()?,
            Node::Table(_) => return None,
        };
        let value = array.get(index)?;
        Some((Node::Value(value), value.span().map(|span| span.start)))
    }

    fn as_table(&self) -> Option<&'a dyn TableLike> {
        match self {
            Node::Item(item) => item.as_table_like(),
            Node::Table(table) => Some(*table),
            Node::Value(value) => value.as_inline_table().map(|table| table as &dyn TableLike),
        }
    }
}
