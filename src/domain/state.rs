//! Service state of a failure domain, as set by operators.

use serde::{Deserialize, Serialize};

/// Key prefix of the rows with the service state of each domain.
pub const ROW_PREFIX: &str = "domain-state/";

/// Row key of a domain's service state.
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
    /// Service state that an operator set last.
    pub state: DomainState,
}
