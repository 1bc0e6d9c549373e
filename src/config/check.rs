//! Checks a settings tree against the known fields: unknown and missing keys, types and ranges.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::field::{self, Field, Kind};
use super::problem::{Problem, ProblemKind};
use super::tree::{Key, Node, Value};
use crate::catalogue::document::{MAX_NAME_BYTES, is_name};

/// A value that has the type of its field and is in range.
#[derive(Clone, Debug, PartialEq)]
pub enum Checked {
    /// A name, or one of the words of a choice.
    Text(String),
    /// A list of distinct names, not empty.
    Names(Vec<String>),
    /// An address to listen on or to connect to.
    Address(SocketAddr),
    /// `true` or `false`.
    Bool(bool),
    /// A number within the field's range.
    Number(u64),
}

/// Result of checking a file: the valid values by path, with indexes for list items, and the problems.
#[derive(Debug, Default)]
pub struct Findings {
    file: String,
    values: BTreeMap<String, (u64, Checked)>,
    problems: Vec<Problem>,
}

impl Findings {
    /// Checks a whole file. `file` is the file name used in error messages.
    #[must_use]
    pub fn check(file: &str, root: &Node) -> Self {
        let mut findings = Self { file: file.to_owned(), ..Self::default() };
        findings.check_section(root, "", "");
        findings
    }

    /// Returns the problems reported so far, sorted by line and then by the path of the setting.
    #[must_use]
    pub fn into_problems(mut self) -> Vec<Problem> {
        self.problems.sort_by(|a, b| (a.line, &a.field).cmp(&(b.line, &b.field)));
        self.problems
    }

    /// Returns the valid value at a path, with its line.
    #[must_use]
    pub fn value(&self, path: &str) -> Option<(u64, &Checked)> {
        self.values.get(path).map(|(line, value)| (*line, value))
    }

    /// Returns the valid values whose path begins with `prefix`, with path and line.
    pub fn values_below<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, u64, &'a Checked)> {
        self.values
            .iter()
            .filter(move |(path, _)| path.starts_with(prefix))
            .map(|(path, (line, value))| (path.as_str(), *line, value))
    }

    /// True if a problem was reported for this path.
    #[must_use]
    pub fn has_problem(&self, path: &str) -> bool {
        self.problems.iter().any(|problem| problem.field == path)
    }

    /// Adds a problem. The empty path stands for the whole file.
    pub fn report(&mut self, line: u64, path: &str, kind: ProblemKind) {
        let field = if path.is_empty() { "-" } else { path }.to_owned();
        self.problems.push(Problem { file: self.file.clone(), line, field, kind });
    }

    /// Checks a map. `schema` is its path in [`field::FIELDS`], `path` its path in the file.
    fn check_section(&mut self, node: &Node, schema: &str, path: &str) {
        let empty = Vec::new();
        let entries = match &node.value {
            Value::Map(entries) => entries,
            Value::Null => &empty,
            other => {
                let expected = format!("a map with {}", field::keys_below(schema).join(", "));
                let kind = ProblemKind::InvalidValue { found: other.describe(), expected };
                return self.report(node.line, path, kind);
            }
        };
        for (key, value) in entries {
            self.check_entry(key, value, schema, path);
        }
        let present: BTreeSet<&str> = entries.iter().map(|(key, _)| key.name.as_str()).collect();
        for key in field::keys_below(schema) {
            if !present.contains(key) {
                self.report_missing(node.line, &join(schema, key), &join(path, key));
            }
        }
    }

    fn check_entry(&mut self, key: &Key, node: &Node, schema: &str, path: &str) {
        let child_schema = join(schema, &key.name);
        let child_path = join(path, &key.name);
        if let Some(field) = field::find(&child_schema) {
            return self.check_leaf(field, node, &child_path);
        }
        let item_schema = format!("{child_schema}[]");
        if !field::keys_below(&item_schema).is_empty() {
            return self.check_list(node, &item_schema, &child_path);
        }
        if !field::keys_below(&child_schema).is_empty() {
            return self.check_section(node, &child_schema, &child_path);
        }
        let allowed = field::keys_below(schema).join(", ");
        self.report(key.line, &child_path, ProblemKind::UnknownKey { allowed });
    }

    fn report_missing(&mut self, line: u64, schema: &str, path: &str) {
        if let Some(field) = field::find(schema) {
            if field.required {
                self.report(line, path, ProblemKind::Missing { expected: expected(field.kind) });
            }
            return;
        }
        let required =
            |field: &&Field| field.required && field::below(field.path, schema).is_some();
        if field::FIELDS.iter().any(|field| required(&field)) {
            let expected = format!("a map with {}", field::keys_below(schema).join(", "));
            self.report(line, path, ProblemKind::Missing { expected });
        }
    }

    fn check_list(&mut self, node: &Node, item_schema: &str, path: &str) {
        match &node.value {
            Value::Null => {}
            Value::List(items) => {
                for (index, item) in items.iter().enumerate() {
                    self.check_section(item, item_schema, &format!("{path}[{index}]"));
                }
            }
            other => {
                let expected =
                    format!("a list of maps with {}", field::keys_below(item_schema).join(", "));
                let kind = ProblemKind::InvalidValue { found: other.describe(), expected };
                self.report(node.line, path, kind);
            }
        }
    }

    fn check_leaf(&mut self, field: &Field, node: &Node, path: &str) {
        if node.value == Value::Null && !field.required {
            return;
        }
        match check_value(field.kind, &node.value) {
            Ok(value) => {
                self.values.insert(path.to_owned(), (node.line, value));
            }
            Err(kind) => self.report(node.line, path, kind),
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn check_value(kind: Kind, value: &Value) -> Result<Checked, ProblemKind> {
    let wrong = || ProblemKind::InvalidValue { found: value.describe(), expected: expected(kind) };
    match (kind, value) {
        (Kind::Name, Value::Text(text)) if is_name(text) => Ok(Checked::Text(text.clone())),
        (Kind::Names, Value::List(items)) => distinct_names(items).ok_or_else(wrong)?,
        (Kind::Choice(words), Value::Text(text)) if words.contains(&text.as_str()) => {
            Ok(Checked::Text(text.clone()))
        }
        (Kind::Bool, Value::Bool(value)) => Ok(Checked::Bool(*value)),
        (Kind::Number(min, max, unit), Value::Int(found)) => match u64::try_from(*found) {
            Ok(number) if (min..=max).contains(&number) => Ok(Checked::Number(number)),
            _ => Err(ProblemKind::OutOfRange { found: *found, min, max, unit }),
        },
        (Kind::Listen | Kind::ListenAnnounced | Kind::Connect, Value::Text(text)) => {
            let address: SocketAddr = text.parse().map_err(|_| wrong())?;
            let unspecified = address.ip().is_unspecified();
            let usable = match kind {
                Kind::Listen => true,
                Kind::ListenAnnounced => !unspecified,
                _ => !unspecified && address.port() != 0,
            };
            if usable { Ok(Checked::Address(address)) } else { Err(wrong()) }
        }
        _ => Err(wrong()),
    }
}

/// Returns the names of a list, or an error if one is repeated; `None` if the list is empty or an item is not a name.
fn distinct_names(items: &[Node]) -> Option<Result<Checked, ProblemKind>> {
    let mut found = Vec::new();
    for item in items {
        let Value::Text(text) = &item.value else { return None };
        if !is_name(text) {
            return None;
        }
        if found.contains(text) {
            return Some(Err(ProblemKind::Repeated { found: text.clone() }));
        }
        found.push(text.clone());
    }
    (!found.is_empty()).then_some(Ok(Checked::Names(found)))
}

/// Describes the values that a field allows. Error messages and docs/OPERATIONS.md use the same text.
#[must_use]
pub fn expected(kind: Kind) -> String {
    match kind {
        Kind::Name => format!("1 to {MAX_NAME_BYTES} characters out of a-z, 0-9 and '-'"),
        Kind::Names => {
            format!("a list of names of 1 to {MAX_NAME_BYTES} characters out of a-z, 0-9 and '-'")
        }
        Kind::Listen => "IP:PORT".to_owned(),
        Kind::ListenAnnounced => "IP:PORT with the IP number that peers reach".to_owned(),
        Kind::Connect => "IP:PORT of another process, with a port above 0".to_owned(),
        Kind::Choice(words) => words.join(", "),
        Kind::Bool => "true or false".to_owned(),
        Kind::Number(min, max, unit) => format!("{min} to {max} {unit}"),
    }
}
