//! `/v1/catalogue`: reads and edits documents.
