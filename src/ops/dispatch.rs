//! Sends requests to targets, directly or through a peer.
