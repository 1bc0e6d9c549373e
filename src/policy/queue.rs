//! Orders waiting tasks and marks those that can never run.
