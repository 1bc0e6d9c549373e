//! Documents of the catalogue and the rules that each must satisfy before it is accepted.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::worker::Resources;

/// Prefix of the catalogue's rows.
pub const ROW_PREFIX: &str = "catalogue/";

/// Longest allowed document name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Largest latency target that an entry may set.
pub const MAX_P99_TARGET: Duration = Duration::from_secs(60);

/// Highest allowed priority.
pub const MAX_PRIORITY: u8 = 9;

/// Row key of a document.
#[must_use]
pub fn row_key(name: &str) -> String {
    format!("{ROW_PREFIX}{name}")
}

/// How work of an entry is treated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Answers matter more than throughput; may preempt batch work.
    LatencyCritical,
    /// Runs in what is left, and is throttled or moved first.
    Batch,
}

/// A document of the catalogue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Document {
    /// Something that can run.
    Entry(Entry),
    /// A team and its quota.
    Owner(Owner),
}

/// A service or a kind of task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the owner, who need not have a document of its own.
    pub owner: String,
    /// How the work is treated.
    pub class: Class,
    /// Limits on what it may use.
    pub limits: EntryLimits,
    /// Order within the class; higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// True if a task must never run in two places. Defaults to true for batch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exclusive: Option<bool>,
    /// True if requests may be repeated whatever their method. Defaults to the method's meaning.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Tail latency that the service must keep, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub p99_target_ms: Option<u64>,
    /// Failure domains where it may run; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub domains: Vec<String>,
}

/// Limits of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryLimits {
    /// What one task may use. Zero for a service that only takes requests.
    #[serde(default)]
    pub per_task: Resources,
    /// Most tasks that run at the same time, over all failure domains.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_running: Option<u64>,
    /// Attempts after which a failing task is given up.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
}

fn default_max_attempts() -> u32 {
    5
}

/// A team and what all its entries together may use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Sum over all running tasks of the owner's entries, over all failure domains.
    pub quota: Resources,
}

/// Why a document was not accepted.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum DocumentError {
    /// The name cannot be part of a row key or a URL.
    #[error("the name {name:?} must have 1 to {MAX_NAME_BYTES} characters out of a-z, 0-9 and '-'")]
    BadName {
        /// The name found.
        name: String,
    },
    /// The owner is empty or cannot be a name.
    #[error(
        "the owner {owner:?} must have 1 to {MAX_NAME_BYTES} characters out of a-z, 0-9 and '-'"
    )]
    BadOwner {
        /// The owner found.
        owner: String,
    },
    /// A limit allows nothing to run.
    #[error("{field} is 0, so nothing could ever run; leave it out or set at least 1")]
    LimitAllowsNothing {
        /// The field's path.
        field: &'static str,
    },
    /// A batch entry without processors or memory.
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
    /// Checks the document's own rules.
    ///
    /// # Errors
    ///
    /// The first rule that does not hold.
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
    /// True if a task of this entry must never run in two places.
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
