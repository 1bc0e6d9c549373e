//! Chooses what to evict for urgent work.
