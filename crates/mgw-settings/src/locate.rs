//! Finds the lines of keys in a TOML text.

use toml_edit::{Document, Item, TableLike};

/// One step of a path: from a table to the value of a key, or from an array to an element.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    Key(String),
    Index(usize),
}

/// Returns the line number, starting at 1, of a key such as `vms[2].place`.
///
/// If the key is absent, this is the line of the innermost part of it that exists; 0 if no part of it
/// exists or the text isn't valid TOML.
///
/// ```
/// let text = "[[vms]]\nname = \"a\"\n\n[[vms]]\nname = \"b\"\n";
/// assert_eq!(mgw_settings::line_of_key(text, "vms[1].name"), 5);
/// assert_eq!(mgw_settings::line_of_key(text, "vms[1].place"), 4);
/// ```
#[must_use]
pub fn line_of_key(text: &str, key: &str) -> u32 {
    match Document::parse(text) {
        Ok(document) => find_line(&document, text, &parse_path(key)),
        Err(_) => 0,
    }
}

/// Returns the line of the innermost part of `path` that exists; 0 if no part of it exists.
pub(crate) fn find_line<S>(document: &Document<S>, text: &str, path: &[Step]) -> u32 {
    let mut line = 0;
    let mut node = Node::Item(document.as_item());
    for step in path {
        let Some((next, offset)) = node.child(step) else {
            break;
        };
        if let Some(offset) = offset {
            line = line_of(text, offset);
        }
        node = next;
    }
    line
}

/// Returns the line number, starting at 1, of a byte offset.
pub(crate) fn line_of(text: &str, offset: usize) -> u32 {
    let before = text.as_bytes().iter().take(offset);
    let line_breaks = before.filter(|byte| **byte == b'\n').count();
    u32::try_from(line_breaks + 1).unwrap_or(u32::MAX)
}

/// Formats a path such as `vms[2].place`.
pub(crate) fn format_path(path: &[Step]) -> String {
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

/// Parses a path such as `vms[2].place` into its steps.
pub(crate) fn parse_path(key: &str) -> Vec<Step> {
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

/// A value of the document, in one of the forms in which `toml_edit` stores values.
enum Node<'a> {
    Item(&'a Item),
    Table(&'a dyn TableLike),
    Value(&'a toml_edit::Value),
}

impl<'a> Node<'a> {
    /// Returns the value one step inside this one, and the byte offset at which it starts.
    fn child(&self, step: &Step) -> Option<(Self, Option<usize>)> {
        match step {
            Step::Key(name) => {
                let (key, item) = self.as_table()?.get_key_value(name)?;
                let start = key.span().or_else(|| item.span());
                Some((Node::Item(item), start.map(|span| span.start)))
            }
            Step::Index(index) => self.child_at(*index),
        }
    }

    fn child_at(&self, index: usize) -> Option<(Self, Option<usize>)> {
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
