//! The ten promises over real entry processes, with one checker over what the stand-ins saw.

mod faults;
mod rig;
mod stops;
mod together;
