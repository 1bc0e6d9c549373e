//! The catalogue: services and kinds of tasks with their owners and limits.
//!
//! Operators edit the table rows `catalogue/{name}` through `PUT /v1/catalogue/{name}`; every process keeps a
//! [`cache::CatalogueCache`] of them.

pub mod cache;
pub mod document;

pub use cache::CatalogueCache;
pub use document::{Class, Document, Entry, EntryLimits, Owner};
