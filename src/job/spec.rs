//! Descriptions of jobs, as callers submit them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most steps that a job may have.
pub const MAX_STEPS: usize = 64;

/// Most tasks that one step may have. All tasks of a job are held in memory by one scheduler.
pub const MAX_TASKS_PER_STEP: u32 = 2_000;

/// Most occurrences that a job may have.
pub const MAX_OCCURRENCES: u32 = 10_000;

/// Resources of a task or of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Resources {
    /// Processors in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns true if `self` is at most `free` in each dimension.
    #[must_use]
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu_millis <= free.cpu_millis
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// Returns the sum in each dimension.
    #[must_use]
    pub fn add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns the difference in each dimension, at least 0.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Step of a job: a set of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks; at least 1.
    pub count: u32,
    /// Resources that one task asks for.
    pub resources: Resources,
    /// Caller's rough estimate of a task's duration, in milliseconds; 0 if it gives none.
    pub estimate_ms: u64,
    /// Indexes of earlier steps whose tasks must all have succeeded before this step starts.
    pub after: Vec<u16>,
    /// True for a gang: the tasks make progress only while all of them run, and they end together.
    pub is_gang: bool,
    /// True if the tasks of a gang are slow when they run on more than one rack.
    pub is_tightly_coupled: bool,
    /// Label that a worker must have to run the tasks.
    pub required_label: Option<String>,
    /// Rack on which the tasks' data is; workers there are preferred.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; `None` for no limit.
    pub max_per_worker: Option<u32>,
    /// True if the tasks save checkpoints from which they can resume.
    pub checkpoints: bool,
    /// True if two runs of a task may be active at the same time, which permits speculative runs.
    pub is_speculative: bool,
    /// True if the tasks run until the job is cancelled, and are started again if they end.
    pub is_long_running: bool,
    /// Name of the program that the tasks run. Tasks of one image interfere alike.
    pub image: Option<String>,
    /// Tail latency target of a serving task, in milliseconds; `None` for other tasks.
    pub tail_target_ms: Option<u64>,
    /// True for best-effort tasks: they use processors that others leave, and their processors do not count against a
    /// worker's capacity.
    pub uses_leftover_cpu: bool,
    /// Most tasks of the step that may be stopped at the same time, as the caller set it. Stored only: the scheduler
    /// does not use it.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Resources of a task that count against a worker's capacity.
    #[must_use]
    pub fn committed(&self) -> Resources {
        let cpu_millis = if self.uses_leftover_cpu { 0 } else { self.resources.cpu_millis };
        Resources { cpu_millis, ..self.resources }
    }

    /// Caller's estimate of a task's duration, or a default if it gives none.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        const DEFAULT_MS: u64 = 1_000;
        Duration::from_millis(if self.estimate_ms == 0 { DEFAULT_MS } else { self.estimate_ms })
    }
}

/// Times at which a job is repeated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Schedule {
    /// When occurrence 0 is due, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences; the adapter sets at least 1.
    pub occurrences: u32,
}

impl Schedule {
    /// Returns when an occurrence is due, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms + u64::from(occurrence) * self.interval_ms
    }
}

/// Description of a job, as its caller submitted it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// Opaque text that is passed to each task.
    pub payload: String,
    /// Steps of the job. A step refers to earlier ones by index.
    pub steps: Vec<StepSpec>,
    /// Repetition of the job; `None` for a job that runs once, as soon as it can.
    pub schedule: Option<Schedule>,
}

/// Reason for which the description of a job is refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SpecError {
    /// The job has no step or too many.
    #[error("a job has 1 to {MAX_STEPS} steps, not {found}")]
    StepCount {
        /// Number of steps found.
        found: usize,
    },
    /// A step has no task or too many.
    #[error("step {step} has {found} tasks; 1 to {MAX_TASKS_PER_STEP} are possible")]
    TaskCount {
        /// Index of the step.
        step: usize,
        /// Number of tasks found.
        found: u32,
    },
    /// A step waits for itself or for a later one.
    #[error("step {step} waits for step {after}, which is not an earlier step")]
    NotEarlier {
        /// Index of the step.
        step: usize,
        /// Index of the step that it waits for.
        after: u16,
    },
    /// The schedule has too many occurrences.
    #[error("a job has at most {MAX_OCCURRENCES} occurrences, not {found}")]
    Occurrences {
        /// Number of occurrences found.
        found: u32,
    },
}

impl JobSpec {
    /// Checks the limits and dependencies that the scheduler relies on.
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

    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn tasks(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// Returns the number of occurrences; 1 for a job without a schedule.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns true if the job has a long-running step, so that it ends only when it is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Returns the length of the longest chain of dependent steps from `step` to the end, by the caller's estimates.
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

    /// Returns the length of the longest chain of dependent steps, by the caller's estimates.
    #[must_use]
    pub fn chain(&self) -> Duration {
        (0..self.steps.len()).map(|step| self.chain_from(step)).max().unwrap_or_default()
    }
}
