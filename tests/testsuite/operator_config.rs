//! The operator config in force in a process, while its connections to the store fail.

mod silent_connections;
