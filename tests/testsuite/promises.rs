//! The guarantees of the system, tested on real entry processes. A checker looks for violations in the history that the
//! stand-ins record.

mod faults;
mod rig;
mod stops;
mod together;
