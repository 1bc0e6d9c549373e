//! The planned stop of a process.
