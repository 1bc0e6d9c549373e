//! State of one placement pass, and how much a pass may examine.
//!
//! On a full fleet most waiting steps find no worker. An index of the workers by free processors leaves only those to
//! examine that have enough, usually none. What remains is bounded: once a pass has examined about [`MAX_EXAMINED`]
//! workers for steps that found none, it ends, and the next pass resumes there after it has spent up to half of that
//! number on the steps of the highest rank. Each pass tries at least one step at the resume point, so every waiting
//! step is tried eventually, whatever precedes it.

use crate::job::{Resources, StepId, StepSpec};
use crate::shard::health::ProbeTier;
use crate::shard::pick;
use crate::shard::queue::WaitCause;
use crate::shard::worker::Worker;

/// Number of workers that a pass may examine for steps that find none.
const MAX_EXAMINED: usize = 20_000;

/// Which tasks a worker may get in a pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    Any,
    /// One task of this tier or an earlier one.
    Probe(ProbeTier),
    /// Overdue tasks only, because a suspect is on trial there.
    Overdue,
    None,
}

/// Step that found no worker in a pass, for the comparison with later ones.
#[derive(Debug)]
struct FailedStep {
    service: String,
    image: Option<String>,
    uses_leftover_cpu: bool,
    tier: ProbeTier,
    is_overdue: bool,
    /// Resources of one task.
    resources: Resources,
}

/// Workers of one pool that get tasks, by processors in thousandths of a core, most first. Not updated by starts, which
/// only reduce the values, so a worker found here may have less.
#[derive(Debug, Default)]
struct PoolIndex {
    by_free: Vec<(u64, usize)>,
    by_leftover: Vec<(i64, usize)>,
}

/// State of one placement pass. Vectors have one element per worker, in the order of the scheduler's worker map, which
/// a pass does not change.
#[derive(Debug, Default)]
pub(super) struct Pass {
    pub(super) admission: Vec<Admission>,
    /// Free processors of the usable workers by failure domain: uncommitted, and unused by estimate, in thousandths of
    /// a core.
    pub(super) domains: Vec<(String, (u64, i64))>,
    pools: Vec<(String, PoolIndex)>,
    /// Steps without a worker that larger ones need not be tried after.
    failed: Vec<FailedStep>,
    /// Number of workers examined for the current step.
    examined_by_step: usize,
    /// Number of workers examined for steps that found none.
    examined: usize,
    /// Step at which the pass goes on once it has used half of [`MAX_EXAMINED`]; `None` to try all in order.
    resume_at: Option<StepId>,
    /// Steps are passed over until `resume_at` has been reached.
    is_skipping: bool,
}

impl Pass {
    /// Creates the state of a pass over `steps`. `resume_at` is the first step that the previous pass did not try.
    pub(super) fn new(resume_at: Option<StepId>, steps: &[StepId]) -> Self {
        let resume_at = resume_at.filter(|at| steps.contains(at));
        Self { resume_at, ..Self::default() }
    }

    /// Adds a worker. Workers are added in the order of the scheduler's worker map.
    pub(super) fn add_worker(&mut self, worker: &Worker, admission: Admission) {
        let position = self.admission.len();
        self.admission.push(admission);
        if admission == Admission::None {
            return;
        }
        let listing = &worker.listing;
        let (free, leftover) = (worker.free().cpu_millis, worker.leftover_cpu());
        let pool = entry(&mut self.pools, &listing.service);
        pool.by_free.push((free, position));
        pool.by_leftover.push((leftover, position));
        if admission == Admission::Any {
            let sum = entry(&mut self.domains, &listing.domain);
            sum.0 += free;
            sum.1 += leftover.max(0);
        }
    }

    /// Builds the index, after all workers have been added.
    pub(super) fn sort_pools(&mut self) {
        self.domains.sort_unstable_by(|(a, _), (b, _)| a.cmp(b));
        for (_, pool) in &mut self.pools {
            pool.by_free.sort_unstable_by(|a, b| b.cmp(a));
            pool.by_leftover.sort_unstable_by(|a, b| b.cmp(a));
        }
    }

    /// Returns the positions of the workers of a pool that may have enough processors for a task of the step.
    pub(super) fn candidates(&mut self, service: &str, step: &StepSpec) -> Vec<usize> {
        self.examined_by_step += 1;
        let Some((_, pool)) = self.pools.iter().find(|(name, _)| name == service) else {
            return Vec::new();
        };
        let candidates: Vec<usize> = if step.uses_leftover_cpu {
            let needed = pick::leftover_needed(step);
            let enough = pool.by_leftover.partition_point(|(leftover, _)| *leftover >= needed);
            pool.by_leftover[..enough].iter().map(|(_, position)| *position).collect()
        } else {
            let needed = step.committed().cpu_millis;
            let enough = pool.by_free.partition_point(|(free, _)| *free >= needed);
            pool.by_free[..enough].iter().map(|(_, position)| *position).collect()
        };
        self.examined_by_step += candidates.len();
        candidates
    }

    /// Updates the state of a worker after a run was reserved there or its reservation was taken back.
    pub(super) fn invalidate(&mut self, worker: usize) {
        if matches!(self.admission[worker], Admission::Probe(_)) {
            self.admission[worker] = Admission::None;
        }
    }

    /// Records that the current step found no worker; `is_full` if no worker has enough resources for it.
    pub(super) fn record_miss(
        &mut self,
        service: &str,
        step: &StepSpec,
        tier: ProbeTier,
        is_overdue: bool,
        is_full: bool,
    ) {
        self.examined += self.examined_by_step;
        // Steps with further constraints may fail for other reasons than their size.
        let is_unconstrained =
            step.required_label.is_none() && step.max_per_worker.is_none() && !step.is_gang;
        if is_unconstrained && is_full {
            self.failed.push(FailedStep {
                service: service.to_owned(),
                image: step.image.clone(),
                uses_leftover_cpu: step.uses_leftover_cpu,
                tier,
                is_overdue,
                resources: step.resources,
            });
        }
    }

    /// Begins a step. Returns why it need not be tried, if so: a step that asks for no more found no worker, or the
    /// pass leaves it to a later one.
    pub(super) fn begin_step(
        &mut self,
        id: &StepId,
        service: &str,
        step: &StepSpec,
        tier: ProbeTier,
        is_overdue: bool,
    ) -> Option<WaitCause> {
        self.examined_by_step = 0;
        if self.resume_at.as_ref() == Some(id) {
            self.resume_at = None;
            self.is_skipping = false;
            self.examined = self.examined.min(MAX_EXAMINED / 2);
        } else if self.resume_at.is_some() && self.examined >= MAX_EXAMINED / 2 {
            self.is_skipping = true;
        }
        if self.is_skipping || self.is_over() {
            return Some(WaitCause::Deferred);
        }
        let is_smaller_missed = self.failed.iter().any(|failed| {
            failed.service == service
                && failed.image == step.image
                && failed.uses_leftover_cpu == step.uses_leftover_cpu
                && failed.tier <= tier
                && (failed.is_overdue || !is_overdue)
                && failed.resources.fits(&step.resources)
        });
        is_smaller_missed.then_some(WaitCause::SmallerStepMissed)
    }

    /// Returns true once the pass may examine no further workers.
    pub(super) fn is_over(&self) -> bool {
        self.resume_at.is_none() && self.examined >= MAX_EXAMINED
    }
}

/// Returns the value of a name in a short list, which it is added to if it is missing.
fn entry<'a, T: Default>(list: &'a mut Vec<(String, T)>, name: &str) -> &'a mut T {
    let position = list.iter().position(|(other, _)| other == name);
    let position = position.unwrap_or_else(|| {
        list.push((name.to_owned(), T::default()));
        list.len() - 1
    });
    &mut list[position].1
}
