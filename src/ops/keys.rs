//! Records idempotency keys before the dispatch.
