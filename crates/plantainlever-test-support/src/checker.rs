//! Reads a history and reports every broken promise.
