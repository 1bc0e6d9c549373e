//! In-memory object store.
