//! Jobs: steps of tasks with dependencies, their identity and their progress.
//!
//! A job is accepted once and described by its [`JobSpec`]. Its [`Progress`] says which tasks have ended, how often a
//! task has failed and from which checkpoint it resumes. Where a task runs is not part of the job: the scheduler's view
//! of the workers holds that, because a restarted scheduler reads it from the workers.

pub mod progress;
pub mod spec;

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

pub use progress::{JobState, Progress, TaskProgress};
pub use spec::{JobSpec, Resources, SpecError, StepSpec};

/// Identity of a job: 64 bits, written as 16 hexadecimal digits. Callers choose it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// Text that is not an identity.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{found:?} is not 16 lower-case hexadecimal digits")]
pub struct BadJobId {
    /// What was found.
    pub found: String,
}

impl FromStr for JobId {
    type Err = BadJobId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || BadJobId { found: text.chars().take(64).collect() };
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(is_digit) {
            return Err(bad());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| bad())
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identity of a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Job.
    pub job: JobId,
    /// Occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identity of a task.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobTaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Index within the step.
    pub index: u16,
}

impl fmt::Display for JobTaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// Text that names no task.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{found:?} is not JOB.OCCURRENCE.STEP.INDEX")]
pub struct BadJobTaskId {
    /// What was found.
    pub found: String,
}

impl FromStr for JobTaskId {
    type Err = BadJobTaskId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let mut parts = text.split('.');
            let job = parts.next()?.parse().ok()?;
            let occurrence = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let index = parts.next()?.parse().ok()?;
            let is_whole = parts.next().is_none();
            is_whole.then_some(Self { step: StepId { job, occurrence, step }, index })
        };
        parse().ok_or_else(|| BadJobTaskId { found: text.chars().take(64).collect() })
    }
}
