//! Jobs: steps of tasks with dependencies, their IDs and their progress.
//!
//! A job is accepted once and described by its [`JobSpec`]. Its [`Progress`] records which tasks have succeeded, which
//! of their runs failed or ended with a crash of their worker, from which checkpoint a task resumes, and on which
//! worker its newest run was placed. Whether that run is still active is not part of the job: a new owner reads that
//! from the workers.

pub mod progress;
pub mod spec;

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

pub use progress::{JobState, Progress, TaskProgress};
pub use spec::{JobSpec, Resources, SpecError, StepSpec};

/// ID of a job: 64 bits, written as 16 lower-case hexadecimal digits. Callers choose it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// Error for a text that is not a job ID.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{found:?} is not 16 lower-case hexadecimal digits")]
pub struct BadJobId {
    /// Start of the text, at most 64 characters.
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

/// ID of a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step in [`JobSpec::steps`].
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// ID of a task of a job, written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobTaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Index of the task within the step, from 0.
    pub index: u16,
}

impl fmt::Display for JobTaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// Error for a text that is not a task ID.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{found:?} is not JOB.OCCURRENCE.STEP.INDEX")]
pub struct BadJobTaskId {
    /// Start of the text, at most 64 characters.
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
