//! Reads catalogue documents from a file and works out what applying them changes.

use std::collections::BTreeMap;
use std::path::Path;

use serde_json::Value;
use thiserror::Error;

use super::{Client, ClientError};
use crate::catalogue::Document;
use crate::catalogue::document::DocumentError;
use crate::platform::table::Revision;

/// A document of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct FileDocument {
    /// Name.
    pub name: String,
    /// Content.
    pub document: Document,
}

/// Why a file has nothing to apply. Nothing was sent.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{file} cannot be read; check its path and permissions")]
    Unreadable {
        /// The file.
        file: String,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// The file is not YAML.
    #[error("{file}:{line}: not valid YAML: {cause}")]
    Syntax {
        /// The file.
        file: String,
        /// Line, from 1.
        line: u64,
        /// The parser's message.
        cause: String,
    },
    /// The file has no documents.
    #[error("{file} has no documents; each needs name, kind, and the fields of its kind")]
    Empty {
        /// The file.
        file: String,
    },
    /// A document has no name.
    #[error("{file}: document {index} has no name; add a line such as \"name: echo\"")]
    NoName {
        /// The file.
        file: String,
        /// Position in the file, from 1.
        index: usize,
    },
    /// The same name stands twice.
    #[error("{file}: the name {name} stands twice; keep one of the two documents")]
    Repeated {
        /// The file.
        file: String,
        /// The name.
        name: String,
    },
    /// The fields do not fit the kind.
    #[error("{file}: document {name}: {cause}")]
    Fields {
        /// The file.
        file: String,
        /// Name of the document.
        name: String,
        /// The decoder's message.
        cause: String,
    },
    /// A rule of the catalogue does not hold.
    #[error("{file}: document {name} would be refused")]
    Rule {
        /// The file.
        file: String,
        /// Name of the document.
        name: String,
        /// The rule.
        #[source]
        source: DocumentError,
    },
}

/// Reads and checks all documents of a file.
///
/// # Errors
///
/// The first [`FileError`].
pub fn read_file(path: &Path) -> Result<Vec<FileDocument>, FileError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| FileError::Unreadable { file: file.clone(), source })?;
    parse(&file, &text)
}

/// Checks the text of a file. `file` is the name in messages.
///
/// # Errors
///
/// The first [`FileError`].
pub fn parse(file: &str, text: &str) -> Result<Vec<FileDocument>, FileError> {
    let values: Vec<Value> = serde_saphyr::from_multiple(text).map_err(|error| {
        let line = error.location().map_or(1, |location| location.line());
        let cause = error.without_snippet().to_string();
        let cause = cause.lines().next().unwrap_or_default().to_owned();
        FileError::Syntax { file: file.to_owned(), line, cause }
    })?;
    if values.is_empty() {
        return Err(FileError::Empty { file: file.to_owned() });
    }
    let mut documents: Vec<FileDocument> = Vec::new();
    for (index, value) in values.into_iter().enumerate() {
        let document = decode(file, index + 1, value)?;
        if documents.iter().any(|other| other.name == document.name) {
            return Err(FileError::Repeated { file: file.to_owned(), name: document.name });
        }
        documents.push(document);
    }
    Ok(documents)
}

/// Decodes a map with `name` and the fields of a document. `index` is the position in the file, from 1.
///
/// # Errors
///
/// Any [`FileError`].
pub fn decode(file: &str, index: usize, mut value: Value) -> Result<FileDocument, FileError> {
    let name = value.as_object_mut().and_then(|fields| fields.remove("name"));
    let Some(Value::String(name)) = name else {
        return Err(FileError::NoName { file: file.to_owned(), index });
    };
    let document: Document = serde_json::from_value(value).map_err(|error| FileError::Fields {
        file: file.to_owned(),
        name: name.clone(),
        cause: error.to_string(),
    })?;
    document.validate(&name).map_err(|source| FileError::Rule {
        file: file.to_owned(),
        name: name.clone(),
        source,
    })?;
    Ok(FileDocument { name, document })
}

/// What applying a document does.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// There is no such document yet.
    Create,
    /// Fields change.
    Update(Vec<FieldChange>),
    /// Nothing changes.
    Same,
}

/// A field that changes. `None` is an absent field.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldChange {
    /// Path of the field.
    pub path: String,
    /// Value in the catalogue, as JSON.
    pub from: Option<String>,
    /// Value in the file, as JSON.
    pub to: Option<String>,
}

/// A document with its effect and the revision that the effect was worked out against.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyStep {
    /// The document.
    pub document: FileDocument,
    /// The effect.
    pub change: Change,
    /// Revision of the document in the catalogue, zero if there is none.
    pub revision: Revision,
}

/// Reads what the catalogue has and works out the changes.
///
/// # Errors
///
/// Any [`ClientError`].
pub fn plan(client: &Client, documents: Vec<FileDocument>) -> Result<Vec<ApplyStep>, ClientError> {
    documents.into_iter().map(|document| plan_one(client, document)).collect()
}

fn plan_one(client: &Client, document: FileDocument) -> Result<ApplyStep, ClientError> {
    let Some(held) = client.document(&document.name)? else {
        return Ok(ApplyStep { document, change: Change::Create, revision: 0 });
    };
    let fields = compare(&held.document, &document.document)?;
    let change = if fields.is_empty() { Change::Same } else { Change::Update(fields) };
    Ok(ApplyStep { document, change, revision: held.revision })
}

fn compare(held: &Document, wanted: &Document) -> Result<Vec<FieldChange>, ClientError> {
    let (held, wanted) = (flat(held)?, flat(wanted)?);
    let mut paths: Vec<&String> = held.keys().chain(wanted.keys()).collect();
    paths.sort();
    paths.dedup();
    let changes = paths.into_iter().filter(|path| held.get(*path) != wanted.get(*path));
    let change = |path: &String| FieldChange {
        path: path.clone(),
        from: held.get(path).cloned(),
        to: wanted.get(path).cloned(),
    };
    Ok(changes.map(change).collect())
}

/// Leaves of a document: path and value as JSON.
type Leaves = BTreeMap<String, String>;

/// The leaves of a document.
fn flat(document: &Document) -> Result<Leaves, ClientError> {
    let value = serde_json::to_value(document)
        .map_err(|error| ClientError::Encoding { cause: error.to_string() })?;
    let mut leaves = BTreeMap::new();
    flatten(&value, "", &mut leaves);
    Ok(leaves)
}

fn flatten(value: &Value, path: &str, leaves: &mut Leaves) {
    let Value::Object(fields) = value else {
        leaves.insert(path.to_owned(), value.to_string());
        return;
    };
    for (key, value) in fields {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        flatten(value, &path, leaves);
    }
}
