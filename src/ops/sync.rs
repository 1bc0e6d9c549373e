//! Follows the catalogue, the domain states, the members and the VM list.
