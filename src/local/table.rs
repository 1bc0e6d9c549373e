//! In-memory table service.
