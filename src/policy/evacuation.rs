//! Decides how fast a domain is emptied and filled again.
