//! Decides which requests wait for a slot and which are refused early.
