//! `/v1/tasks`: submits, shows and cancels tasks.
