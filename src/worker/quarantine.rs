//! Takes workers that fail unlike their peers out of use.
