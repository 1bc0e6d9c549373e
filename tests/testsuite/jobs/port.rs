//! In-memory store and workers with the platform's faults.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plantainlever::clock::{Clock, SystemClock};
use plantainlever::job::JobState;
use plantainlever::job::progress::Progress;
use plantainlever::ops::jobs::{Node, NodeSettings, OperatorConfig, layout, watch};
use plantainlever::port::{
    Commit, CommitOutcome, Row, RowKey, RowList, RowStore, StoreError, WorkerPort,
};
use plantainlever::shard::report::{RenewalReport, WorkerListing};
use plantainlever::shard::scheduler::{
    Command, CommandOutcome, RenewalFailure, Reply, StartOutcome, Timing,
};
use plantainlever::shard::{ShardId, ShardMap, WorkerId};
use plantainlever::telemetry::Metrics;

use crate::shard::rig::{Answer, Fleet, QUEUE, ROW_BYTES, policy, timing};

/// Latency of the store.
const STORE_ANSWER: Duration = Duration::from_millis(2);
/// Most entries in a transaction.
const MAX_ENTRIES: usize = 100;
/// Largest transaction, in bytes of its encoded values.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;
/// Latency of a worker.
const WORKER_ANSWER: Duration = Duration::from_millis(1);

/// Version and content of a row; `None` for a removed row.
type Versioned = (u64, Option<Vec<u8>>);

/// Store and workers that all processes of a test share.
#[derive(Debug)]
pub struct World {
    /// Rows by partition, table and key. A removed row keeps its version.
    rows: RefCell<BTreeMap<(String, RowKey), Versioned>>,
    version: Cell<u64>,
    /// First version in the change history; older changes can't be read.
    pub history_from: Cell<u64>,
    pub fleet: RefCell<Fleet>,
    /// Number of next transactions that are applied but whose answers are lost.
    pub lose_answers: Cell<u32>,
    pub is_store_down: Cell<bool>,
    /// Another row changes between each transaction and its answer, which has the newest version of the store.
    pub changes_before_answers: Cell<bool>,
    /// Transactions that only remove rows of jobs are refused.
    pub keeps_job_rows: Cell<bool>,
    /// Keys of rows of owners and progress that the store rejects, unless they show a failed job.
    pub rejected_keys: RefCell<BTreeSet<String>>,
    /// Size of the largest row that the store accepts.
    pub row_bytes: Cell<usize>,
    /// Transactions that the processes have sent.
    pub sent: RefCell<Vec<Commit>>,
    /// Time at which the newest transaction with a heartbeat was applied.
    pub heartbeat_applied: Cell<Duration>,
    /// Transactions of the owner that were applied after the newest one with a heartbeat.
    pub progress_since_heartbeat: Cell<u32>,
    began: Duration,
}

impl World {
    pub fn new(fleet: Fleet) -> Rc<Self> {
        Rc::new(Self {
            rows: RefCell::default(),
            version: Cell::new(0),
            history_from: Cell::new(0),
            fleet: RefCell::new(fleet),
            lose_answers: Cell::new(0),
            is_store_down: Cell::new(false),
            changes_before_answers: Cell::new(false),
            keeps_job_rows: Cell::new(false),
            rejected_keys: RefCell::default(),
            row_bytes: Cell::new(ROW_BYTES),
            sent: RefCell::default(),
            heartbeat_applied: Cell::default(),
            progress_since_heartbeat: Cell::default(),
            began: SystemClock.boot(),
        })
    }

    /// Time since the start of the test.
    pub fn now(&self) -> Duration {
        SystemClock.boot() - self.began
    }

    /// Advances the workers to the current time.
    fn advance(&self) {
        let now = self.now();
        self.fleet.borrow_mut().advance(now);
    }

    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Returns the content of the first existing row of a table with a key.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.rows.borrow();
        let mut rows = rows.iter().filter(|((_, row), _)| row.table == table && row.key == key);
        rows.find_map(|(_, (_, value))| value.clone())
    }

    /// Returns the number of existing rows of a table.
    pub fn count(&self, table: &str) -> usize {
        let rows = self.rows.borrow();
        rows.iter().filter(|((_, key), (_, value))| key.table == table && value.is_some()).count()
    }

    /// Applies a transaction, which a process may have sent before.
    pub fn apply(&self, commit: &Commit) -> CommitOutcome {
        let mut rows = self.rows.borrow_mut();
        let id = |key: &RowKey| (commit.partition.clone(), key.clone());
        let version_of = |rows: &BTreeMap<_, Versioned>, key: &RowKey| {
            rows.get(&id(key))
                .filter(|(_, value)| value.is_some())
                .map_or(0, |(version, _)| *version)
        };
        if commit.expected.iter().any(|(key, version)| version_of(&rows, key) != *version) {
            let current = commit.expected.iter().filter_map(|(key, _)| {
                let (version, value) = rows.get(&id(key))?;
                Some(Row { id: key.clone(), value: Some(value.clone()?), version: *version })
            });
            return CommitOutcome::Conflict { rows: current.collect() };
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        if commit.writes.iter().any(|(key, _)| key.key == layout::HEARTBEAT_KEY) {
            self.heartbeat_applied.set(self.now());
            self.progress_since_heartbeat.set(0);
        } else if commit.partition == layout::shard_partition(ShardId(0)) {
            self.progress_since_heartbeat.update(|count| count + 1);
        }
        for (key, value) in &commit.writes {
            rows.insert(id(key), (version, Some(value.clone())));
        }
        for key in &commit.removes {
            rows.insert(id(key), (version, None));
        }
        CommitOutcome::Applied { version }
    }
}

/// Store and worker port of one process.
#[derive(Debug)]
pub struct Port {
    pub world: Rc<World>,
    /// The process is cut off from the store and all workers.
    pub is_cut: Cell<bool>,
    /// The process is cut off from the store, but not from the workers.
    pub is_store_cut: Cell<bool>,
    /// Workers that the process is cut off from.
    pub cut_workers: RefCell<BTreeSet<WorkerId>>,
    /// Transactions of the process reach the store only once this is false.
    pub is_commit_delayed: Cell<bool>,
    /// Transactions that have not reached the store yet because of [`Self::is_commit_delayed`].
    pub delayed_commits: Cell<u32>,
    /// Tables whose reads get no answer; those in progress get one once the table is removed from here. The VM list
    /// counts as a table.
    pub silent_tables: RefCell<BTreeSet<&'static str>>,
}

/// Name of the VM list in [`Port::silent_tables`].
pub const VM_LIST: &str = "vm-list";
/// Name of the operators' rows in [`Port::silent_tables`].
pub const OPERATOR_ROWS: &str = "operator-rows";

impl Port {
    async fn reach_store(&self) -> Result<(), StoreError> {
        tokio::time::sleep(STORE_ANSWER).await;
        if self.is_cut.get() || self.is_store_cut.get() {
            return Err(StoreError::NoAnswer { cause: "cut".to_owned() });
        }
        if self.world.is_store_down.get() {
            return Err(StoreError::Refused { cause: "down".to_owned() });
        }
        Ok(())
    }

    async fn reach_table(&self, table: &str) -> Result<(), StoreError> {
        while self.silent_tables.borrow().contains(table) {
            tokio::time::sleep(STORE_ANSWER).await;
        }
        self.reach_store().await
    }

    async fn reach_worker(&self, epoch: u64, command: &Command) -> Option<Answer> {
        tokio::time::sleep(WORKER_ANSWER).await;
        if self.is_cut.get() || self.cut_workers.borrow().contains(&command.worker) {
            return None;
        }
        self.world.advance();
        self.world.fleet.borrow_mut().carry_out(epoch, command)
    }

    /// Reading of the worker's clock in an answer; `None` without an answer.
    fn clock_ms(&self, command: &Command, answer: Option<&Answer>) -> Option<u64> {
        let fleet = self.world.fleet.borrow();
        answer.and_then(|_| Some(fleet.workers.get(&command.worker)?.clock_ms(fleet.now)))
    }
}

impl RowStore for Port {
    async fn read(
        &self,
        table: &str,
        partition: &str,
        from: &str,
        to: &str,
    ) -> Result<RowList, StoreError> {
        self.reach_table(table).await?;
        let rows = self.world.rows.borrow();
        let rows = rows.iter().filter(|((part, key), (_, value))| {
            part == partition
                && key.table == table
                && key.key.as_str() >= from
                && (to.is_empty() || key.key.as_str() < to)
                && value.is_some()
        });
        let rows = rows.map(|((_, key), (version, value))| Row {
            id: key.clone(),
            value: value.clone(),
            version: *version,
        });
        Ok(RowList { rows: rows.collect(), version: self.world.version() })
    }

    async fn commit(&self, commit: &Commit) -> Result<CommitOutcome, StoreError> {
        if self.is_commit_delayed.get() {
            self.delayed_commits.update(|count| count + 1);
            while self.is_commit_delayed.get() {
                tokio::time::sleep(STORE_ANSWER).await;
            }
            self.delayed_commits.update(|count| count - 1);
        }
        self.reach_store().await?;
        self.world.sent.borrow_mut().push(commit.clone());
        let is_of_jobs = |key: &RowKey| key.table == layout::jobs_table(ShardId(0));
        let removes_jobs = commit.writes.is_empty() && commit.removes.iter().any(is_of_jobs);
        if removes_jobs && self.world.keeps_job_rows.get() {
            return Err(StoreError::Refused { cause: "no removals".to_owned() });
        }
        let is_rejected = |(key, value): &(RowKey, Vec<u8>)| {
            !key.table.starts_with("jobs")
                && self.world.rejected_keys.borrow().contains(&key.key)
                && Progress::decode_state(value) != Ok(JobState::Failed)
        };
        let entries = commit.expected.len() + commit.writes.len() + commit.removes.len();
        let sizes = || commit.writes.iter().map(|(_, value)| value.len());
        let is_too_large = entries > MAX_ENTRIES
            || sizes().any(|bytes| bytes > self.world.row_bytes.get())
            || sizes().sum::<usize>() * 4 / 3 > MAX_TRANSACTION_BYTES;
        if is_too_large || commit.writes.iter().any(is_rejected) {
            return Err(StoreError::Rejected { cause: "status 400".to_owned() });
        }
        let mut outcome = self.world.apply(commit);
        if let CommitOutcome::Applied { version } = &mut outcome
            && self.world.changes_before_answers.get()
        {
            *version += 1;
            self.world.version.set(*version);
        }
        let lost = self.world.lose_answers.get();
        if lost > 0 {
            self.world.lose_answers.set(lost - 1);
            return Err(StoreError::NoAnswer { cause: "lost".to_owned() });
        }
        Ok(outcome)
    }

    async fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<RowList, StoreError> {
        let until = self.world.now() + wait;
        loop {
            self.reach_table(table).await?;
            if after < self.world.history_from.get() {
                return Err(StoreError::HistoryGone);
            }
            let rows = self.world.rows.borrow();
            let mut changed: Vec<Row> = rows
                .iter()
                .filter(|((_, key), (version, _))| key.table == table && *version > after)
                .map(|((_, key), (version, value))| Row {
                    id: key.clone(),
                    value: value.clone(),
                    version: *version,
                })
                .collect();
            drop(rows);
            changed.sort_by_key(|row| row.version);
            if !changed.is_empty() || self.world.now() >= until {
                return Ok(RowList { rows: changed, version: self.world.version() });
            }
        }
    }
}

impl WorkerPort for Port {
    async fn list(&self) -> Result<Vec<WorkerListing>, StoreError> {
        self.reach_table(VM_LIST).await?;
        Ok(self.world.fleet.borrow().listed())
    }

    async fn renew(&self, epoch: u64, command: &Command) -> Result<RenewalReport, RenewalFailure> {
        match self.reach_worker(epoch, command).await {
            Some(Answer::Renewed(report)) => Ok(report),
            Some(Answer::Fenced) => Err(RenewalFailure::Fenced),
            _ => Err(RenewalFailure::NoAnswer),
        }
    }

    async fn start(&self, epoch: u64, command: &Command) -> Reply<StartOutcome> {
        let answer = self.reach_worker(epoch, command).await;
        let clock_ms = self.clock_ms(command, answer.as_ref());
        let outcome = match answer {
            Some(Answer::Done) => StartOutcome::Started,
            Some(Answer::Refused(refusal)) => StartOutcome::Refused(refusal),
            _ => StartOutcome::Unknown,
        };
        Reply { outcome, clock_ms }
    }

    async fn stop_or_throttle(&self, epoch: u64, command: &Command) -> Reply<CommandOutcome> {
        let answer = self.reach_worker(epoch, command).await;
        let clock_ms = self.clock_ms(command, answer.as_ref());
        let outcome = match answer {
            Some(Answer::Done) => CommandOutcome::Done,
            Some(Answer::Fenced) => CommandOutcome::Fenced,
            _ => CommandOutcome::Unknown,
        };
        Reply { outcome, clock_ms }
    }

    fn close_idle(&self, _address: SocketAddr) {}
}

/// Age at which a process may still use its copies of the store's rows.
pub const MAX_AGE: Duration = Duration::from_secs(2);

/// Time between two reads of the operators' rows.
const OPERATOR_READ_PERIOD: Duration = Duration::from_millis(20);

/// Starts a process that watches shard 0.
pub fn start(world: &Rc<World>, vm: &str) -> Rc<Node<Port>> {
    start_with_max_age(world, vm, MAX_AGE)
}

/// As [`start`], with other leases of the runs.
pub fn start_with_timing(world: &Rc<World>, vm: &str, timing: Timing) -> Rc<Node<Port>> {
    start_with(world, vm, MAX_AGE, timing)
}

/// As [`start`], with the age at which the process may still use its copies.
pub fn start_with_max_age(world: &Rc<World>, vm: &str, max_age: Duration) -> Rc<Node<Port>> {
    start_with(world, vm, max_age, timing())
}

fn start_with(world: &Rc<World>, vm: &str, max_age: Duration, timing: Timing) -> Rc<Node<Port>> {
    let port = Port {
        world: Rc::clone(world),
        is_cut: Cell::new(false),
        is_store_cut: Cell::new(false),
        cut_workers: RefCell::default(),
        is_commit_delayed: Cell::new(false),
        delayed_commits: Cell::new(0),
        silent_tables: RefCell::default(),
    };
    let cfg = NodeSettings {
        vm: vm.to_owned(),
        cpu_share: 0.25,
        timing,
        max_row_bytes: world.row_bytes.get(),
        keep_ended: Duration::from_secs(1),
        call_timeout: Duration::from_secs(3),
        max_operator_config_age: max_age,
        max_worker_list_age: max_age,
        max_jobs_age: max_age,
    };
    let node = Rc::new(Node::new(cfg, Arc::new(SystemClock), port, Metrics::disabled()));
    node.set_map(ShardMap { shards: 1 });
    node.replace_operator_config(OperatorConfig {
        version: 1,
        queues: BTreeMap::from([(QUEUE.to_owned(), policy())]),
        ..OperatorConfig::default()
    });
    tokio::task::spawn_local(confirm_operator_config(Rc::clone(&node)));
    tokio::task::spawn_local(watch::run(Rc::clone(&node), ShardId(0)));
    node
}

/// Reads the operators' rows, which do not change.
async fn confirm_operator_config(node: Rc<Node<Port>>) {
    loop {
        let sent = SystemClock.boot();
        let outcome = node.port.reach_table(OPERATOR_ROWS).await;
        node.record_operator_config_read(sent, outcome.as_ref().err());
        tokio::time::sleep(OPERATOR_READ_PERIOD).await;
    }
}
