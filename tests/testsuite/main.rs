//! Test suite.
