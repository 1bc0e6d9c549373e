//! Tests of the request path.
