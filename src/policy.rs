//! Pure decisions: no thread, socket, lock or clock. Time and random numbers are arguments.
