//! Failure domains: whether they are in service, and which process schedules them.

pub mod hold;
pub mod state;

pub use hold::{Claim, ClaimantClass, HoldRow};
pub use state::DomainState;
