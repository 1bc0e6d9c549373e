//! The object store, which keeps checkpoints and large results.
//!
//! Protocol (HTTP): `PUT /objects/{name}` stores the body, `GET /objects/{name}` returns it, 404 if it is missing.
//! Workers write their checkpoints themselves; the scheduler handles only the names.

use std::fmt::Debug;

use super::PlatformError;

/// The object store. Each method sends its request once.
pub trait Objects: Debug + Send + Sync {
    /// Stores an object, replacing an older one of the same name.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]. A put may be repeated, because it is idempotent.
    fn put(&self, name: &str, body: &[u8]) -> Result<(), PlatformError>;

    /// Returns an object, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError>;
}
