//! Executor that runs requests in threads.
