//! The catalogue: what may run, for whom, and within which limits.
//!
//! Operators edit rows `catalogue/{name}`; every process follows the rows through [`copy::CatalogueCopy`].

pub mod copy;
pub mod document;

pub use copy::CatalogueCopy;
pub use document::{Class, Document, Entry, EntryLimits, Owner};
