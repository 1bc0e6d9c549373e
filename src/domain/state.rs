//! Whether operators have a failure domain in service.

use serde::{Deserialize, Serialize};

/// Prefix of the rows that hold the domains' states.
pub const ROW_PREFIX: &str = "domain-state/";

/// Row key of a domain's state.
#[must_use]
pub fn row_key(domain: &str) -> String {
    format!("{ROW_PREFIX}{domain}")
}

/// State set by operators. A domain without a row is in service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// In service.
    In,
    /// Out of service: no task starts there, running work is moved away.
    Out,
}

/// Content of a domain state row, and body of `PUT /v1/domains/{name}`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainStateRow {
    /// The state.
    pub state: DomainState,
}
