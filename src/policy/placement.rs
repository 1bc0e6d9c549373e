//! Chooses the worker for a task.
