//! Store and network of a simulation, on the paused clock of a tokio runtime.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::{Rc, Weak};
use std::time::Duration;

use plantainlever::job::progress::{ProgressRow, TaskProgress};
use plantainlever::job::{JobId, JobSpec, JobTaskId, Progress};
use plantainlever::ops::jobs::layout;
use plantainlever::port::{Commit, CommitOutcome, Row, RowKey, RowList};
use plantainlever::shard::{OwnerRow, ShardId};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use super::random::Random;
use super::workers::Workers;

/// The store's end of a connection.
pub const STORE: &str = "store";
/// Reading of the store's clock at the start of a simulation.
const STORE_CLOCK_ORIGIN_MS: u64 = 86_400_000;
/// Longest time for which a message waits for the end of a cut; longer cuts break the connection.
const MAX_RESEND: Duration = Duration::from_secs(3);
/// Version and content of a row; `None` for a removed row.
type Versioned = (u64, Option<Vec<u8>>);

/// A change of a row, or a read of it by a new owner.
#[derive(Debug)]
struct Access {
    at: Duration,
    vm: String,
    is_read: bool,
    rows: Vec<Row>,
}

/// Everything that the processes of a simulation share.
#[derive(Debug)]
pub struct World {
    pub began: Instant,
    tasks: Weak<LocalSet>,
    rows: RefCell<BTreeMap<(String, RowKey), Versioned>>,
    version: Cell<u64>,
    pub workers: RefCell<Workers>,
    pub random: RefCell<Random>,
    /// Ends of the cuts by sender and receiver.
    cuts: RefCell<BTreeMap<(String, String), Duration>>,
    /// Transactions reach the store late until this time.
    pub store_slow_until: Cell<Duration>,
    /// Messages are neither lost nor late except by the faults of the simulation.
    pub is_calm: Cell<bool>,
    /// Processor time that a process needs for a command to a worker, and as much again for its answer.
    pub call_cost: Cell<Duration>,
    /// The store's answers have a reading of its clock.
    pub has_clock: Cell<bool>,
    /// Changes of the shard's partition and reads of its progress, in order.
    accesses: RefCell<Vec<Access>>,
    pub jobs: RefCell<BTreeMap<JobId, JobSpec>>,
}

impl World {
    pub fn new(tasks: &Rc<LocalSet>, workers: Workers, random: Random) -> Rc<Self> {
        Rc::new(Self {
            began: Instant::now(),
            tasks: Rc::downgrade(tasks),
            rows: RefCell::default(),
            version: Cell::new(0),
            workers: RefCell::new(workers),
            random: RefCell::new(random),
            cuts: RefCell::default(),
            store_slow_until: Cell::default(),
            is_calm: Cell::default(),
            call_cost: Cell::default(),
            has_clock: Cell::new(true),
            accesses: RefCell::default(),
            jobs: RefCell::default(),
        })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Returns a reading of the store's clock, which is half a percent slow.
    pub fn clock_ms(&self) -> Option<u64> {
        let elapsed_ms = self.now().as_millis() as u64 * 995 / 1_000;
        self.has_clock.get().then_some(STORE_CLOCK_ORIGIN_MS + elapsed_ms)
    }

    /// Runs a future that outlives the process which causes it.
    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        if let Some(tasks) = self.tasks.upgrade() {
            tasks.spawn_local(future);
        }
    }

    /// Cuts the way from one party to another.
    pub fn cut(&self, from: &str, to: &str, length: Duration) {
        let until = self.now() + length;
        let mut cuts = self.cuts.borrow_mut();
        let end = cuts.entry((from.to_owned(), to.to_owned())).or_default();
        *end = (*end).max(until);
    }

    /// Returns how long a message is on its way; `None` if it is lost.
    fn delay(&self, from: &str, to: &str) -> Option<Duration> {
        let now = self.now();
        let key = (from.to_owned(), to.to_owned());
        let cut_for =
            self.cuts.borrow().get(&key).map_or(Duration::ZERO, |until| until.saturating_sub(now));
        let mut random = self.random.borrow_mut();
        if !cut_for.is_zero() {
            let is_resent = cut_for < MAX_RESEND && random.one_in(2);
            return is_resent.then(|| cut_for + random.between(1, 200));
        }
        let is_slow = match to {
            STORE => self.store_slow_until.get() > now,
            _ => {
                let workers = self.workers.borrow();
                workers.workers.iter().any(|(id, w)| id.as_str() == to && w.slow_until > now)
            }
        };
        if is_slow && random.one_in(2) {
            return Some(random.between(1, 2_500));
        }
        if self.is_calm.get() {
            return Some(random.between(1, 8));
        }
        if random.one_in(400) {
            return None;
        }
        Some(match random.below(40) {
            0 => random.between(1, 800),
            1..=4 => random.between(1, 100),
            _ => random.between(1, 8),
        })
    }

    /// Sends a request, acts on it where it arrives, and returns the answer.
    pub async fn exchange<T>(
        &self,
        vm: &str,
        to: &str,
        action: impl Future<Output = Option<T>>,
    ) -> Option<T> {
        sleep(self.delay(vm, to)?).await;
        let answer = action.await?;
        sleep(self.delay(to, vm)?).await;
        Some(answer)
    }

    /// Applies a transaction if its conditions hold.
    pub fn apply(&self, vm: &str, commit: &Commit) -> CommitOutcome {
        let mut rows = self.rows.borrow_mut();
        let id = |key: &RowKey| (commit.partition.clone(), key.clone());
        let current = |key: &RowKey| {
            let (version, value) = rows.get(&id(key))?;
            Some(Row { id: key.clone(), value: Some(value.clone()?), version: *version })
        };
        let is_met =
            |(key, version): &(RowKey, u64)| current(key).map_or(0, |row| row.version) == *version;
        if !commit.expected.iter().all(is_met) {
            let rows = commit.expected.iter().filter_map(|(key, _)| current(key)).collect();
            return CommitOutcome::Conflict { rows };
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        let writes = commit.writes.iter().map(|(key, value)| (key, Some(value.clone())));
        let changes = writes.chain(commit.removes.iter().map(|key| (key, None)));
        let mut changed = Vec::new();
        for (key, value) in changes {
            changed.push(Row { id: key.clone(), value: value.clone(), version });
            rows.insert(id(key), (version, value));
        }
        if commit.partition == layout::shard_partition(ShardId(0)) {
            self.record(vm, false, changed);
        }
        CommitOutcome::Applied { version }
    }

    pub fn record(&self, vm: &str, is_read: bool, rows: Vec<Row>) {
        let access = Access { at: self.now(), vm: vm.to_owned(), is_read, rows };
        self.accesses.borrow_mut().push(access);
    }

    pub fn read(&self, table: &str, partition: &str) -> RowList {
        let rows = self.rows.borrow();
        let rows = rows.iter().filter(|((part, key), _)| part == partition && key.table == table);
        let rows = rows.filter_map(|((_, key), (version, value))| {
            Some(Row { id: key.clone(), value: Some(value.clone()?), version: *version })
        });
        RowList { rows: rows.collect(), version: self.version.get() }
    }

    pub fn changes(&self, table: &str, after: u64) -> RowList {
        let rows = self.rows.borrow();
        let changed =
            rows.iter().filter(|((_, key), (version, _))| key.table == table && *version > after);
        let mut rows: Vec<Row> = changed
            .map(|((_, key), (version, value))| Row {
                id: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect();
        rows.sort_by_key(|row| row.version);
        RowList { rows, version: self.version.get() }
    }

    /// Name of the shard's owner; empty if there is none.
    pub fn owner(&self) -> String {
        let owners = self.read(layout::OWNERS_TABLE, &layout::shard_partition(ShardId(0)));
        let row = owners.rows.into_iter().find(|row| row.id.key == layout::OWNER_KEY);
        let value = row.and_then(|row| row.value).unwrap_or_default();
        serde_json::from_slice::<OwnerRow>(&value).map(|row| row.vm).unwrap_or_default()
    }

    /// Number of times that the shard was claimed.
    pub fn claims(&self) -> usize {
        let accesses = self.accesses.borrow();
        let rows = accesses.iter().flat_map(|access| &access.rows);
        let owners = rows.filter(|row| row.id.key == layout::OWNER_KEY);
        let owners =
            owners.filter_map(|row| serde_json::from_slice::<OwnerRow>(row.value.as_deref()?).ok());
        owners.filter(|row| !row.vm.is_empty()).count()
    }

    /// Returns the jobs whose end is not stored.
    pub fn unended(&self) -> Vec<JobId> {
        let shard = ShardId(0);
        let stored = self.read(&layout::progress_table(shard), &layout::shard_partition(shard));
        let has_ended = |id: &JobId| {
            stored.rows.iter().any(|row| {
                row.id.key == id.to_string()
                    && Progress::decode_state(row.value.as_deref().unwrap()).unwrap().is_final()
            })
        };
        self.jobs.borrow().keys().filter(|id| !has_ended(id)).copied().collect()
    }

    /// Describes the claims, and the stored progress of a task at each change and each load of the shard.
    pub fn history_of(&self, task: &JobTaskId) -> String {
        let jobs = self.jobs.borrow();
        let Some(spec) = jobs.get(&task.step.job) else { return String::new() };
        let mut text = String::new();
        let mut stored: BTreeMap<ProgressRow, Vec<u8>> = BTreeMap::new();
        let mut last = String::new();
        for access in self.accesses.borrow().iter() {
            let owner = access.rows.iter().find(|row| row.id.key == layout::OWNER_KEY);
            if let Some(value) = owner.and_then(|row| row.value.as_deref()) {
                let value = String::from_utf8_lossy(value);
                let _ =
                    writeln!(text, "  {:?} {} claims or releases {value}", access.at, access.vm);
            }
            let heartbeat = access.rows.iter().find(|row| row.id.key == layout::HEARTBEAT_KEY);
            let value = heartbeat.and_then(|row| row.value.as_deref());
            let value = String::from_utf8_lossy(value.unwrap_or_default());
            if value.contains("suspects\"") {
                let _ = writeln!(text, "  {:?} {} heartbeat {value}", access.at, access.vm);
            }
            let mut rows = if access.is_read { BTreeMap::new() } else { stored.clone() };
            for row in &access.rows {
                let Some((job, part)) = layout::parse_progress_key(&row.id.key) else { continue };
                if job == task.step.job && row.id.table == layout::progress_table(ShardId(0)) {
                    match &row.value {
                        Some(value) => rows.insert(part, value.clone()),
                        None => rows.remove(&part),
                    };
                }
            }
            let progress = rows.get(&ProgressRow::Head).map(|head| {
                Progress::decode_rows(spec, head, &rows)
                    .map(|progress| describe(&progress, task))
                    .unwrap_or_else(|e| e.to_string())
            });
            let progress = progress.unwrap_or_else(|| "none".to_owned());
            if access.is_read {
                let _ = writeln!(text, "  {:?} {} reads {progress}", access.at, access.vm);
            } else {
                if progress != last {
                    let _ = writeln!(text, "  {:?} {} stores {progress}", access.at, access.vm);
                }
                (stored, last) = (rows, progress);
            }
        }
        text
    }
}

fn describe(progress: &Progress, task: &JobTaskId) -> String {
    let state = progress.state;
    match progress.task(task) {
        Some(TaskProgress { is_done, last_run, worker, worker_started_unix_ms, .. }) => {
            let worker = worker.as_deref().unwrap_or("none");
            let incarnation = worker_started_unix_ms.unwrap_or_default();
            format!("{state:?}, done {is_done}, run {last_run}, {worker} incarnation {incarnation}")
        }
        None => format!("{state:?}, without the task"),
    }
}
