//! What a caller asks for.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Steps that a job may have.
pub const MAX_STEPS: usize = 64;

/// Tasks that one step may have. A job's tasks are held in memory by one scheduler.
pub const MAX_TASKS_PER_STEP: u32 = 2_000;

/// Occurrences that a job may have.
pub const MAX_OCCURRENCES: u32 = 10_000;

/// What a task occupies on a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Resources {
    /// Processors in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// True if `self` fits into `room` in each dimension.
    #[must_use]
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Sum in each dimension.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Difference in each dimension, at least 0.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A set of like tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks; at least 1.
    pub count: u32,
    /// What one task asks for.
    pub resources: Resources,
    /// The caller's rough estimate of a task's duration.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all have succeeded first.
    pub after: Vec<u16>,
    /// The tasks work only while all of them run, and end together.
    pub is_gang: bool,
    /// The tasks of a gang are slow on more than one rack.
    pub is_tightly_coupled: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Rack on which the data is.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// The tasks save checkpoints.
    pub checkpoints: bool,
    /// Copies of a task may run at the same time.
    pub is_speculative: bool,
    /// The tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Name of what the tasks run. Tasks of one image interfere alike.
    pub image: Option<String>,
    /// Tail latency that a serving task must keep.
    pub tail_target_ms: Option<u64>,
    /// The tasks use processors that others leave; their processors are not counted against a worker's capacity.
    pub uses_leftover_cpu: bool,
    /// Tasks of the step that the scheduler may take down at the same time.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// What a task occupies on a worker.
    #[must_use]
    pub fn committed(&self) -> Resources {
        let cpu_millis = if self.uses_leftover_cpu { 0 } else { self.resources.cpu_millis };
        Resources { cpu_millis, ..self.resources }
    }

    /// Caller's estimate of the duration, with a floor for callers that give none.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        const UNKNOWN_MS: u64 = 1_000;
        Duration::from_millis(if self.estimate_ms == 0 { UNKNOWN_MS } else { self.estimate_ms })
    }
}

/// Repetition of a job in time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Schedule {
    /// When occurrence 0 is due, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time between occurrences.
    pub interval_ms: u64,
    /// Number of occurrences; at least 1.
    pub occurrences: u32,
}

impl Schedule {
    /// When an occurrence is due, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms + u64::from(occurrence) * self.interval_ms
    }
}

/// A job as its caller described it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// Text that is passed to each task.
    pub payload: String,
    /// Steps; a step refers to earlier ones by index.
    pub steps: Vec<StepSpec>,
    /// Repetition; none for a job that runs once, as soon as it can.
    pub schedule: Option<Schedule>,
}

/// Why a description of a job is refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SpecError {
    /// No step, or too many.
    #[error("a job has 1 to {MAX_STEPS} steps, not {found}")]
    StepCount {
        /// Steps found.
        found: usize,
    },
    /// No task, or too many.
    #[error("step {step} has {found} tasks; 1 to {MAX_TASKS_PER_STEP} are possible")]
    TaskCount {
        /// Index of the step.
        step: usize,
        /// Tasks found.
        found: u32,
    },
    /// A step that waits for itself or for a later one.
    #[error("step {step} waits for step {after}, which is not an earlier step")]
    NotEarlier {
        /// Index of the step.
        step: usize,
        /// The step it names.
        after: u16,
    },
    /// Too many occurrences.
    #[error("a job has at most {MAX_OCCURRENCES} occurrences, not {found}")]
    Occurrences {
        /// Occurrences found.
        found: u32,
    },
}

impl JobSpec {
    /// Checks what the scheduler relies on.
    ///
    /// # Errors
    ///
    /// The first [`SpecError`] found.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::StepCount { found: self.steps.len() });
        }
        for (step, spec) in self.steps.iter().enumerate() {
            if spec.count == 0 || spec.count > MAX_TASKS_PER_STEP {
                return Err(SpecError::TaskCount { step, found: spec.count });
            }
            if let Some(after) = spec.after.iter().find(|after| usize::from(**after) >= step) {
                return Err(SpecError::NotEarlier { step, after: *after });
            }
        }
        match self.schedule {
            Some(schedule) if schedule.occurrences > MAX_OCCURRENCES => {
                Err(SpecError::Occurrences { found: schedule.occurrences })
            }
            _ => Ok(()),
        }
    }

    /// Number of occurrences; 1 for a job without a schedule.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// True if the job ends only by its cancellation.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Length of the longest chain of dependent steps from `step` to the end, by the caller's estimates.
    #[must_use]
    pub fn chain_from(&self, step: usize) -> Duration {
        let mut chains = vec![Duration::ZERO; self.steps.len()];
        for (index, spec) in self.steps.iter().enumerate().rev() {
            let next =
                |later: &usize| self.steps[*later].after.iter().any(|a| usize::from(*a) == index);
            let longest =
                (index + 1..self.steps.len()).filter(next).map(|later| chains[later]).max();
            chains[index] = spec.estimate() + longest.unwrap_or_default();
        }
        chains.get(step).copied().unwrap_or_default()
    }

    /// Length of the longest chain of dependent steps.
    #[must_use]
    pub fn chain(&self) -> Duration {
        (0..self.steps.len()).map(|step| self.chain_from(step)).max().unwrap_or_default()
    }
}
