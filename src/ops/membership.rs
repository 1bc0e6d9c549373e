//! Exchanges heartbeats with the entry processes of the domain.
