//! Life cycle of a request as typestate.
