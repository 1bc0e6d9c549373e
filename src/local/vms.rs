//! VM list kept in memory.
