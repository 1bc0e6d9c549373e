//! Reaches the table through a peer when the direct way is cut.
