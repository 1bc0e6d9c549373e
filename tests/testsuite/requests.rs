//! Tests of the request path.

// The lint's exception for tests does not reach helpers of tests.
#![allow(clippy::unwrap_used)]

mod answers;
mod bounds;
mod forwards;
mod front;
mod keys;
mod membership;
mod rig;
mod stops;
