//! Which peers of the domain count as members, and the share of slots that follows.
