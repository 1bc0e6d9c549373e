//! Orders waiting tasks and marks those that can never run.
//!
//! Tasks of one entry and size form a group, because limits and room are the same for all of them: once one has to
//! wait, the group is left out for the rest of the pass. A pass therefore costs the starts it makes and the number of
//! groups, not the length of the queue, and nothing that has to wait delays what is behind it.

pub mod limits;
pub mod verdict;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Bound;

pub use limits::{Limited, Limits};
pub use verdict::{GiveUp, Unplaceable, give_up};

use super::placement::{NoWorker, PendingTask};
use crate::catalogue::Class;
use crate::task::{TaskId, TaskRow};
use crate::worker::Resources;

/// Order of waiting tasks: urgent first, then priority, then age.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Position {
    class: Class,
    priority: Reverse<u8>,
    submitted_ms: u64,
    id: TaskId,
}

/// What decides whether a task has room: tasks with equal keys are interchangeable for that question.
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
    /// Identity.
    pub id: TaskId,
    /// Catalogue entry.
    pub entry: String,
    /// Owner of the entry.
    pub owner: String,
    /// Class of the entry.
    pub class: Class,
    /// Order within the class; higher goes first.
    pub priority: u8,
    /// When it was submitted.
    pub submitted_ms: u64,
    /// What an attempt may use.
    pub resources: Resources,
    /// Workers on which it failed.
    pub failed_on: BTreeSet<String>,
    /// Worker of the last attempt, if it may still have the checkpoint.
    pub checkpoint_on: Option<String>,
}

impl Waiting {
    /// The waiting form of a row.
    #[must_use]
    pub fn new(row: &TaskRow, checkpoint_on: Option<&str>) -> Self {
        Self {
            id: row.id.clone(),
            entry: row.entry.clone(),
            owner: row.owner.clone(),
            class: row.class,
            priority: row.priority,
            submitted_ms: row.submitted_ms,
            resources: row.resources,
            failed_on: row.failed_on.clone(),
            checkpoint_on: checkpoint_on.map(str::to_owned),
        }
    }

    /// The task as placement sees it.
    #[must_use]
    pub fn pending_task(&self) -> PendingTask<'_> {
        PendingTask {
            entry: &self.entry,
            class: self.class,
            resources: self.resources,
            excluded: &self.failed_on,
            checkpoint_on: self.checkpoint_on.as_deref(),
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

/// The waiting tasks of a domain. Tasks marked unplaceable are not in it.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    groups: BTreeMap<GroupKey, Tasks>,
    /// Invariant: names exactly the tasks in `groups`.
    keys: BTreeMap<TaskId, (GroupKey, Position)>,
    /// Batch groups that found no room in a pass that ended at its bound. The next pass takes them last, so that they
    /// cannot use up every pass.
    refused: BTreeSet<GroupKey>,
}

/// The outcome of one pass over the queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Selection {
    /// Tasks with the workers that the callback returned, in order of their turn.
    pub started: Vec<(TaskId, String)>,
    /// Tasks that can never run as things are.
    pub unplaceable: Vec<(TaskId, Unplaceable)>,
    /// Urgent tasks that found no room although their limits allow them; preemption may help them.
    pub urgent_without_room: Vec<TaskId>,
    /// True if the pass ended at its bound, so that another one is worth making.
    pub bounded: bool,
}

impl WaitingQueue {
    /// Adds a task, or replaces it if it is there already.
    pub fn push(&mut self, task: Waiting) {
        self.remove(&task.id);
        let (group, position) = (task.group_key(), task.position());
        self.keys.insert(task.id.clone(), (group.clone(), position.clone()));
        self.groups.entry(group).or_default().insert(position, task);
    }

    /// Takes a task out, because it was started, cancelled, moved or marked unplaceable.
    pub fn remove(&mut self, id: &TaskId) -> Option<Waiting> {
        let (group, position) = self.keys.remove(id)?;
        let tasks = self.groups.get_mut(&group)?;
        let task = tasks.remove(&position);
        if tasks.is_empty() {
            self.groups.remove(&group);
        }
        task
    }

    /// The task with this identity.
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

    /// Makes one pass in order. `place` chooses a worker and commits the task's resources there; it is called at most
    /// `max_attempts` times. Started and unplaceable tasks are removed from the queue, and starts are counted in
    /// `limits`.
    pub fn select(
        &mut self,
        limits: &mut Limits,
        max_attempts: usize,
        mut place: impl FnMut(&PendingTask<'_>) -> Result<String, NoWorker>,
    ) -> Selection {
        let mut selection = Selection::default();
        let mut pass = Pass { limits, place: &mut place, left: max_attempts, full: Vec::new() };
        let mut refused = std::mem::take(&mut self.refused);
        let (first, last): (Vec<_>, Vec<_>) =
            self.groups.iter().partition(|(group, _)| !refused.contains(*group));
        for groups in [first, last] {
            pass.visit_groups(&groups, &mut refused, &mut selection);
        }
        if selection.bounded {
            self.refused = refused;
        }
        for (id, _) in &selection.started {
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
    left: usize,
    /// Sizes that no worker had in this pass. Room only shrinks during a pass, so what is at least as large in
    /// every resource finds none either.
    full: Vec<Resources>,
}

impl<F: FnMut(&PendingTask<'_>) -> Result<String, NoWorker>> Pass<'_, F> {
    /// Visits the tasks of the groups in order until all have had their turn or the bound is reached.
    fn visit_groups(
        &mut self,
        groups: &[(&GroupKey, &Tasks)],
        refused: &mut BTreeSet<GroupKey>,
        selection: &mut Selection,
    ) {
        let mut heads: BinaryHeap<Reverse<(&Position, usize)>> = groups
            .iter()
            .enumerate()
            .filter_map(|(number, (_, tasks))| Some(Reverse((tasks.keys().next()?, number))))
            .collect();
        while let Some(Reverse((position, number))) = heads.pop() {
            if self.left == 0 {
                selection.bounded = true;
                return;
            }
            let (group, tasks) = groups[number];
            let Some(task) = tasks.get(position) else { continue };
            if self.visit(task, selection) {
                let after = (Bound::Excluded(position), Bound::Unbounded);
                if let Some((next, _)) = tasks.range(after).next() {
                    heads.push(Reverse((next, number)));
                }
            } else if group.class == Class::Batch {
                refused.insert(group.clone());
            }
        }
    }

    /// Handles one task and returns true if the next task of its group may still find room.
    fn visit(&mut self, task: &Waiting, selection: &mut Selection) -> bool {
        match self.limits.check(task) {
            Ok(()) => {}
            Err(Limited::Reached) => return false,
            Err(Limited::Never(reason)) => {
                selection.unplaceable.push((task.id.clone(), reason));
                return true;
            }
        }
        if self.full.iter().any(|size| size.fits_in(&task.resources)) {
            return self.no_room(task, selection);
        }
        match self.try_place(task) {
            Ok(worker) => {
                self.limits.add(&task.entry, &task.owner, &task.resources);
                selection.started.push((task.id.clone(), worker));
                true
            }
            Err(NoWorker::TooLarge) => {
                let reason = Unplaceable::TooLarge { resources: task.resources };
                selection.unplaceable.push((task.id.clone(), reason));
                true
            }
            Err(NoWorker::Full) => {
                // A task with exclusions says nothing about the others.
                if task.failed_on.is_empty() {
                    self.full.push(task.resources);
                }
                self.no_room(task, selection)
            }
            Err(NoWorker::NearTarget | NoWorker::AllExcluded) => self.no_room(task, selection),
        }
    }

    /// A task that failed on every worker is tried again on any of them until its attempts are used up.
    fn try_place(&mut self, task: &Waiting) -> Result<String, NoWorker> {
        self.left -= 1;
        let pending_task = task.pending_task();
        match (self.place)(&pending_task) {
            Err(NoWorker::AllExcluded) => {
                (self.place)(&PendingTask { excluded: &BTreeSet::new(), ..pending_task })
            }
            other => other,
        }
    }

    fn no_room(&self, task: &Waiting, selection: &mut Selection) -> bool {
        if task.class == Class::LatencyCritical {
            selection.urgent_without_room.push(task.id.clone());
        }
        // Another task of the group may find room on a worker that this one must not use.
        !task.failed_on.is_empty()
    }
}
