//! Stand-ins, builders and checkers for tests.
