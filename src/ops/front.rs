//! Accepts callers and operators over HTTP.
