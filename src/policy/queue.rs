//! Queue of waiting tasks: selects those to place, in order, and those that can never run.
//!
//! Tasks of one entry and size form a group, because the same limits and workers apply to all of them: once one has to
//! wait, the rest of its group is skipped for this pass. The cost of a pass therefore depends on the number of
//! placements and groups and not on the length of the queue, and a task that has to wait does not block the tasks
//! behind it.

pub mod limits;
pub mod rejection;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Bound;

pub use limits::{Limited, Limits};
pub use rejection::{RetriesExhausted, Unplaceable, retries_exhausted};

use super::placement::{NoWorker, PendingTask};
use crate::catalogue::Class;
use crate::task::{TaskId, TaskRow};
use crate::worker::Resources;

/// Sort key of waiting tasks: urgent class first, then higher priority, then older submission.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Position {
    class: Class,
    priority: Reverse<u8>,
    submitted_ms: u64,
    id: TaskId,
}

/// Key of the tasks to which the same limits and workers apply.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct GroupKey {
    entry: String,
    owner: String,
    class: Class,
    /// Processors, memory and accelerators.
    size: (u64, u64, u64),
}

/// A task that waits for a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// Unique over all domains.
    pub id: TaskId,
    /// Name of the catalogue entry.
    pub entry: String,
    /// Owner of the entry, whose quota the task uses.
    pub owner: String,
    /// Class of the entry.
    pub class: Class,
    /// Priority within the class; higher goes first.
    pub priority: u8,
    /// Time of submission in Unix milliseconds.
    pub submitted_ms: u64,
    /// Resources to commit for an attempt.
    pub resources: Resources,
    /// Workers on which an attempt failed.
    pub failed_on: BTreeSet<String>,
    /// Worker of the last attempt, if known. It may still store the checkpoint.
    pub last_worker: Option<String>,
}

impl Waiting {
    /// Creates the queue element for a stored task.
    #[must_use]
    pub fn new(row: &TaskRow, last_worker: Option<&str>) -> Self {
        Self {
            id: row.id.clone(),
            entry: row.entry.clone(),
            owner: row.owner.clone(),
            class: row.class,
            priority: row.priority,
            submitted_ms: row.submitted_ms,
            resources: row.resources,
            failed_on: row.failed_on.clone(),
            last_worker: last_worker.map(str::to_owned),
        }
    }

    /// Returns the placement input; workers on which the task failed are excluded.
    #[must_use]
    pub fn pending_task(&self) -> PendingTask<'_> {
        PendingTask {
            entry: &self.entry,
            class: self.class,
            resources: self.resources,
            excluded: &self.failed_on,
            last_worker: self.last_worker.as_deref(),
        }
    }

    fn position(&self) -> Position {
        Position {
            class: self.class,
            priority: Reverse(self.priority),
            submitted_ms: self.submitted_ms,
            id: self.id.clone(),
        }
    }

    fn group_key(&self) -> GroupKey {
        let Resources { cpu_millis, memory_mb, accelerators } = self.resources;
        GroupKey {
            entry: self.entry.clone(),
            owner: self.owner.clone(),
            class: self.class,
            size: (cpu_millis, memory_mb, accelerators),
        }
    }
}

/// The tasks of one group.
type Tasks = BTreeMap<Position, Waiting>;

/// The waiting tasks of a domain, without those marked unplaceable.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    groups: BTreeMap<GroupKey, Tasks>,
    /// Invariant: names exactly the tasks in `groups`.
    keys: BTreeMap<TaskId, (GroupKey, Position)>,
    /// Batch groups that found no worker, or reached a limit, in a pass that reached its maximum of placements. The
    /// next pass visits them last, because they would otherwise use up every pass.
    deferred: BTreeSet<GroupKey>,
}

/// The outcome of one pass over the queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Selection {
    /// Placed tasks with the workers that the callback returned, in queue order.
    pub placed: Vec<(TaskId, String)>,
    /// Tasks that can never run with the current catalogue and workers.
    pub unplaceable: Vec<(TaskId, Unplaceable)>,
    /// Urgent tasks within their limits for which no worker was found. Preemption may help them.
    pub urgent_unplaced: Vec<TaskId>,
    /// True if the pass reached its maximum of placements, so that another pass may place more tasks.
    pub is_truncated: bool,
}

impl WaitingQueue {
    /// Adds a task, or replaces it if it is there already.
    pub fn push(&mut self, task: Waiting) {
        self.remove(&task.id);
        let (group, position) = (task.group_key(), task.position());
        self.keys.insert(task.id.clone(), (group.clone(), position.clone()));
        self.groups.entry(group).or_default().insert(position, task);
    }

    /// Removes a task that was placed, cancelled, moved or marked unplaceable, and returns it.
    pub fn remove(&mut self, id: &TaskId) -> Option<Waiting> {
        let (group, position) = self.keys.remove(id)?;
        let tasks = self.groups.get_mut(&group)?;
        let task = tasks.remove(&position);
        if tasks.is_empty() {
            self.groups.remove(&group);
        }
        task
    }

    /// Returns the task with this ID.
    #[must_use]
    pub fn get(&self, id: &TaskId) -> Option<&Waiting> {
        let (group, position) = self.keys.get(id)?;
        self.groups.get(group)?.get(position)
    }

    /// Number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// True if nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// All waiting tasks, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.groups.values().flat_map(BTreeMap::values)
    }

    /// Makes one pass in queue order. `place` chooses a worker and commits the task's resources there; it is called for
    /// at most `max_placements` tasks, and once more for a task that excludes every worker. Placed and unplaceable
    /// tasks are removed from the queue, and placed ones are counted in `limits`.
    pub fn select(
        &mut self,
        limits: &mut Limits,
        max_placements: usize,
        mut place: impl FnMut(&PendingTask<'_>) -> Result<String, NoWorker>,
    ) -> Selection {
        let mut selection = Selection::default();
        let mut pass = Pass {
            limits,
            place: &mut place,
            placements_left: max_placements,
            sizes_without_worker: Vec::new(),
        };
        let mut deferred = std::mem::take(&mut self.deferred);
        let (first, last): (Vec<_>, Vec<_>) =
            self.groups.iter().partition(|(group, _)| !deferred.contains(*group));
        for groups in [first, last] {
            pass.visit_groups(&groups, &mut deferred, &mut selection);
        }
        if selection.is_truncated {
            self.deferred = deferred;
        }
        for (id, _) in &selection.placed {
            self.remove(id);
        }
        for (id, _) in &selection.unplaceable {
            self.remove(id);
        }
        selection
    }
}

struct Pass<'a, F> {
    limits: &'a mut Limits,
    place: &'a mut F,
    placements_left: usize,
    /// Sizes that fitted on no worker in this pass. Free resources only shrink during a pass, so a task that is at
    /// least as large in every resource does not fit either.
    sizes_without_worker: Vec<Resources>,
}

impl<F: FnMut(&PendingTask<'_>) -> Result<String, NoWorker>> Pass<'_, F> {
    /// Visits the tasks of the groups in queue order, up to the maximum of placements.
    fn visit_groups(
        &mut self,
        groups: &[(&GroupKey, &Tasks)],
        deferred: &mut BTreeSet<GroupKey>,
        selection: &mut Selection,
    ) {
        let mut heads: BinaryHeap<Reverse<(&Position, usize)>> = groups
            .iter()
            .enumerate()
            .filter_map(|(index, (_, tasks))| Some(Reverse((tasks.keys().next()?, index))))
            .collect();
        while let Some(Reverse((position, index))) = heads.pop() {
            if self.placements_left == 0 {
                selection.is_truncated = true;
                return;
            }
            let (group, tasks) = groups[index];
            let Some(task) = tasks.get(position) else { continue };
            if self.visit(task, selection) {
                let after = (Bound::Excluded(position), Bound::Unbounded);
                if let Some((next, _)) = tasks.range(after).next() {
                    heads.push(Reverse((next, index)));
                }
            } else if group.class == Class::Batch {
                deferred.insert(group.clone());
            }
        }
    }

    /// Handles one task. Returns true if the next task of its group may still be placed.
    fn visit(&mut self, task: &Waiting, selection: &mut Selection) -> bool {
        match self.limits.check(task) {
            Ok(()) => {}
            Err(Limited::Reached) => return false,
            Err(Limited::Never(reason)) => {
                selection.unplaceable.push((task.id.clone(), reason));
                return true;
            }
        }
        if self.sizes_without_worker.iter().any(|size| size.fits_in(&task.resources)) {
            return self.on_no_capacity(task, selection);
        }
        match self.try_place(task) {
            Ok(worker) => {
                self.limits.add(&task.entry, &task.owner, &task.resources);
                selection.placed.push((task.id.clone(), worker));
                true
            }
            Err(NoWorker::TooLarge) => {
                let reason = Unplaceable::TooLarge { resources: task.resources };
                selection.unplaceable.push((task.id.clone(), reason));
                true
            }
            Err(NoWorker::Full) => {
                // A task that excludes workers does not show that others of its size fit nowhere.
                if task.failed_on.is_empty() {
                    self.sizes_without_worker.push(task.resources);
                }
                self.on_no_capacity(task, selection)
            }
            Err(NoWorker::NearTarget | NoWorker::AllExcluded) => {
                self.on_no_capacity(task, selection)
            }
        }
    }

    /// Places a task. One that failed on every worker may use any of them again, up to its limit of attempts.
    fn try_place(&mut self, task: &Waiting) -> Result<String, NoWorker> {
        self.placements_left -= 1;
        let pending_task = task.pending_task();
        match (self.place)(&pending_task) {
            Err(NoWorker::AllExcluded) => {
                (self.place)(&PendingTask { excluded: &BTreeSet::new(), ..pending_task })
            }
            other => other,
        }
    }

    fn on_no_capacity(&self, task: &Waiting, selection: &mut Selection) -> bool {
        if task.class == Class::LatencyCritical {
            selection.urgent_unplaced.push(task.id.clone());
        }
        // Another task of the group may fit on a worker that this one excludes.
        !task.failed_on.is_empty()
    }
}
