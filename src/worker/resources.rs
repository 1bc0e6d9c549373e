//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of each resource that a worker has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processors in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Resources {
    /// Creates an amount.
    #[must_use]
    pub const fn new(cpu_millis: u64, memory_mb: u64, accelerators: u64) -> Self {
        Self { cpu_millis, memory_mb, accelerators }
    }

    /// True if this amount is at most `other` in every resource.
    #[must_use]
    pub const fn fits_in(&self, other: &Self) -> bool {
        self.cpu_millis <= other.cpu_millis
            && self.memory_mb <= other.memory_mb
            && self.accelerators <= other.accelerators
    }

    /// Sum, capped at the largest representable amount.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference, zero where `other` is larger.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// True if every amount is zero.
    #[must_use]
    pub const fn is_zero(&self) -> bool {
        self.cpu_millis == 0 && self.memory_mb == 0 && self.accelerators == 0
    }
}
