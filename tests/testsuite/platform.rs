//! Tests of the platform clients and the catalogue.
