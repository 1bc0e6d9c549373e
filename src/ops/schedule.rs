//! Schedules the domain: holds it, starts tasks, renews leases, moves work away.
