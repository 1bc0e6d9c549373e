//! Models of one domain on a manual clock. Benches print their figures and tests check them against the stated targets.
//!
//! Each model runs the real decisions against a small simulation of what they decide about, for the policy and its
//! baselines with the same seed and the same arrivals.

pub mod colocation;
pub mod evacuation;
pub mod hold;
pub mod placement;
pub mod tasks;
pub mod urgent;
