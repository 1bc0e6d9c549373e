//! Idempotency keys and their records.
