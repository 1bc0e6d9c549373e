//! Shared parts of the HTTP clients.
