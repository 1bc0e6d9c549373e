//! Faults that a test switches on in front of a stand-in.
