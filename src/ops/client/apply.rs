//! Reads catalogue documents from a file and computes the changes that applying them makes.

use std::collections::BTreeMap;
use std::path::Path;

use serde_json::Value;
use thiserror::Error;

use super::{Client, ClientError};
use crate::catalogue::Document;
use crate::catalogue::document::DocumentError;
use crate::platform::table::Revision;

/// A document with its name, as read from a file.
#[derive(Clone, Debug, PartialEq)]
pub struct FileDocument {
    /// Name of the document, valid for the catalogue.
    pub name: String,
    /// Content, valid for the catalogue.
    pub document: Document,
}

/// Why a file cannot be applied. Nothing was sent.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{file} cannot be read; check its path and permissions")]
    Unreadable {
        /// Path of the file as it was given.
        file: String,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The file is not YAML.
    #[error("{file}:{line}: not valid YAML: {cause}")]
    Syntax {
        /// Path of the file as it was given.
        file: String,
        /// Line of the error, counted from 1.
        line: u64,
        /// Message of the YAML parser.
        cause: String,
    },
    /// The file contains no documents.
    #[error("{file} has no documents; each needs name, kind, and the fields of its kind")]
    Empty {
        /// Path of the file as it was given.
        file: String,
    },
    /// A document has no name.
    #[error("{file}: document {index} has no name; add a line such as \"name: echo\"")]
    NoName {
        /// Path of the file as it was given.
        file: String,
        /// Position of the document in the file, counted from 1.
        index: usize,
    },
    /// Two documents have the same name.
    #[error("{file}: the name {name} stands twice; keep one of the two documents")]
    Repeated {
        /// Path of the file as it was given.
        file: String,
        /// Name that occurs twice.
        name: String,
    },
    /// The document does not have the fields of its kind.
    #[error("{file}: document {name}: {cause}")]
    Fields {
        /// Path of the file as it was given.
        file: String,
        /// Name of the document.
        name: String,
        /// Message of the decoder.
        cause: String,
    },
    /// The document violates a rule of the catalogue.
    #[error("{file}: document {name} would be refused")]
    Rule {
        /// Path of the file as it was given.
        file: String,
        /// Name of the document.
        name: String,
        /// The violated rule.
        #[source]
        source: DocumentError,
    },
}

/// Reads and checks all documents of a file.
///
/// # Errors
///
/// The first [`FileError`] found.
pub fn read_file(path: &Path) -> Result<Vec<FileDocument>, FileError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| FileError::Unreadable { file: file.clone(), source })?;
    parse(&file, &text)
}

/// Parses and checks the text of a file. `file` is the file name used in error messages.
///
/// # Errors
///
/// The first [`FileError`] found.
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

/// Decodes a map with `name` and the fields of a document. `index` is its position in the file, counted from 1.
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

/// Effect of applying a document.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyEffect {
    /// The document does not exist yet.
    Create,
    /// The document exists and these fields differ. Never empty.
    Update(Vec<FieldChange>),
    /// The document exists and is equal.
    Unchanged,
}

/// A field that differs between the catalogue and the file.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldChange {
    /// Path of the field, with a dot between its keys.
    pub path: String,
    /// Value in the catalogue as JSON; `None` if it is absent.
    pub from: Option<String>,
    /// Value in the file as JSON; `None` if it is absent.
    pub to: Option<String>,
}

/// A planned change of a document, based on a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyStep {
    /// Document as it will be after the change.
    pub document: FileDocument,
    /// Effect relative to `revision`.
    pub change: ApplyEffect,
    /// Revision of the document in the catalogue; 0 if it does not exist.
    pub revision: Revision,
}

/// Compares the documents with the catalogue. Sends no edits.
///
/// # Errors
///
/// Any [`ClientError`].
pub fn plan(client: &Client, documents: Vec<FileDocument>) -> Result<Vec<ApplyStep>, ClientError> {
    documents.into_iter().map(|document| plan_one(client, document)).collect()
}

fn plan_one(client: &Client, document: FileDocument) -> Result<ApplyStep, ClientError> {
    let Some(current) = client.document(&document.name)? else {
        return Ok(ApplyStep { document, change: ApplyEffect::Create, revision: 0 });
    };
    let fields = diff(&current.document, &document.document)?;
    let change =
        if fields.is_empty() { ApplyEffect::Unchanged } else { ApplyEffect::Update(fields) };
    Ok(ApplyStep { document, change, revision: current.revision })
}

fn diff(current: &Document, desired: &Document) -> Result<Vec<FieldChange>, ClientError> {
    let (current, desired) = (document_leaves(current)?, document_leaves(desired)?);
    let mut paths: Vec<&String> = current.keys().chain(desired.keys()).collect();
    paths.sort();
    paths.dedup();
    let changes = paths.into_iter().filter(|path| current.get(*path) != desired.get(*path));
    let change = |path: &String| FieldChange {
        path: path.clone(),
        from: current.get(path).cloned(),
        to: desired.get(path).cloned(),
    };
    Ok(changes.map(change).collect())
}

/// Scalar and list fields of a document: path and value as JSON.
type Leaves = BTreeMap<String, String>;

fn document_leaves(document: &Document) -> Result<Leaves, ClientError> {
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
