//! Puts the duties of an entry process together.
