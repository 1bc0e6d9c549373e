//! The catalogue: what may run, for whom, and within which limits.
//!
//! Operators edit rows `catalogue/{name}`; every process follows the rows through [`cache::CatalogueCache`].

pub mod cache;
pub mod document;

pub use cache::CatalogueCache;
pub use document::{Class, Document, Entry, EntryLimits, Owner};
