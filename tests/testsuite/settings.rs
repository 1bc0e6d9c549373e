//! Tests of settings.
