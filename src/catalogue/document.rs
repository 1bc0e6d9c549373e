//! Documents of the catalogue and the rules that each must satisfy before it is accepted.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::worker::Resources;

/// Key prefix of the catalogue's rows.
pub const ROW_PREFIX: &str = "catalogue/";

/// Longest allowed document name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Largest latency target that an entry may set.
pub const MAX_P99_TARGET: Duration = Duration::from_secs(60);

/// Highest allowed priority.
pub const MAX_PRIORITY: u8 = 9;

/// Returns the row key of a document.
#[must_use]
pub fn row_key(name: &str) -> String {
    format!("{ROW_PREFIX}{name}")
}

/// Scheduling class of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Latency matters more than throughput. May preempt batch work.
    LatencyCritical,
    /// Runs on the remaining resources, and is throttled or moved first.
    Batch,
}

/// A document of the catalogue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Document {
    /// A service or a kind of task.
    Entry(Entry),
    /// A team with its quota.
    Owner(Owner),
}

/// A catalogue entry: a service or a kind of task. Not an entry process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the owning team. It has no quota if there is no [`Owner`] document with this name.
    pub owner: String,
    /// Scheduling class of its requests or tasks.
    pub class: Class,
    /// Limits on its resources and on its number of tasks and attempts.
    pub limits: EntryLimits,
    /// Priority within the class, 0 to [`MAX_PRIORITY`]; higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// True if a task must never run in two places at once. Defaults to true for batch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exclusive: Option<bool>,
    /// True if requests may be retried whatever their HTTP method. By default, the method decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Target for the 99th percentile of the latency, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub p99_target_ms: Option<u64>,
    /// Failure domains in which it may run; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub domains: Vec<String>,
}

/// Limits on the resources, the tasks and the attempts of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryLimits {
    /// Resources that one task may use. Zero for a service that only receives requests.
    #[serde(default)]
    pub per_task: Resources,
    /// Largest number of tasks that run at the same time in all failure domains; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_running: Option<u64>,
    /// Number of attempts after which a failing task ends as failed.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
}

fn default_max_attempts() -> u32 {
    5
}

/// A team with a quota for all its entries together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Largest sum of the resources of all running tasks of the team's entries, in all failure domains.
    pub quota: Resources,
}

/// Why a document was refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum DocumentError {
    /// The name cannot be part of a row key or a URL.
    #[error("the name {name:?} must have 1 to {MAX_NAME_BYTES} characters out of a-z, 0-9 and '-'")]
    BadName {
        /// The name found.
        name: String,
    },
    /// The owner is not a valid name.
    #[error(
        "the owner {owner:?} must have 1 to {MAX_NAME_BYTES} characters out of a-z, 0-9 and '-'"
    )]
    BadOwner {
        /// The owner found.
        owner: String,
    },
    /// A limit is 0, so nothing could run.
    #[error("{field} is 0, so nothing could ever run; leave it out or set at least 1")]
    LimitAllowsNothing {
        /// Path of the field.
        field: &'static str,
    },
    /// A batch entry requests no processors or no memory.
    #[error("limits.per_task needs at least cpu_millis and memory_mb for a batch entry")]
    NoResources,
    /// The priority is out of range.
    #[error("priority {found} is above {MAX_PRIORITY}")]
    PriorityTooHigh {
        /// The value found.
        found: u8,
    },
    /// The latency target is out of range.
    #[error("p99_target_ms {found} must be 1 to {}", MAX_P99_TARGET.as_millis())]
    BadLatencyTarget {
        /// The value found.
        found: u64,
    },
}

impl Document {
    /// Checks the rules that need nothing but the document and its name.
    ///
    /// # Errors
    ///
    /// The first rule that is violated.
    pub fn validate(&self, name: &str) -> Result<(), DocumentError> {
        if !is_name(name) {
            return Err(DocumentError::BadName { name: name.to_owned() });
        }
        match self {
            Self::Entry(entry) => entry.validate(),
            Self::Owner(_) => Ok(()),
        }
    }
}

impl Entry {
    /// True if a task of this entry must never run in two places at once.
    #[must_use]
    pub fn is_exclusive(&self) -> bool {
        self.exclusive.unwrap_or(self.class == Class::Batch)
    }

    /// True if the entry may run in this failure domain.
    #[must_use]
    pub fn allows_domain(&self, domain: &str) -> bool {
        self.domains.is_empty() || self.domains.iter().any(|allowed| allowed == domain)
    }

    fn validate(&self) -> Result<(), DocumentError> {
        if !is_name(&self.owner) {
            return Err(DocumentError::BadOwner { owner: self.owner.clone() });
        }
        if self.priority > MAX_PRIORITY {
            return Err(DocumentError::PriorityTooHigh { found: self.priority });
        }
        if self.limits.max_running == Some(0) {
            return Err(DocumentError::LimitAllowsNothing { field: "limits.max_running" });
        }
        if self.limits.max_attempts == 0 {
            return Err(DocumentError::LimitAllowsNothing { field: "limits.max_attempts" });
        }
        let per_task = &self.limits.per_task;
        if self.class == Class::Batch && (per_task.cpu_millis == 0 || per_task.memory_mb == 0) {
            return Err(DocumentError::NoResources);
        }
        match self.p99_target_ms {
            Some(found) if found == 0 || u128::from(found) > MAX_P99_TARGET.as_millis() => {
                Err(DocumentError::BadLatencyTarget { found })
            }
            _ => Ok(()),
        }
    }
}

/// True if `name` can be part of a row key and of a URL.
#[must_use]
pub fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
