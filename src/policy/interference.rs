//! Learns how much one entry slows another from lagging measurements.
