//! `/v1/domains`: reads and sets the domains' states.
