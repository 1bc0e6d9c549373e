//! Processes that can be killed and suspended.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use plantainlever::clock::Clock;
use plantainlever::ops::jobs::{Node, NodeSettings, OperatorConfig, watch};
use plantainlever::shard::{QueuePolicy, ShardId, ShardMap, Timing};
use plantainlever::telemetry::Metrics;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use super::port::{Port, STORE_TIMEOUT};
use super::world::World;
use crate::shard::rig::{QUEUE, policy};

/// Size of the largest row, so small that a job of a few dozen tasks takes several rows.
const ROW_BYTES: usize = 4_096;
/// Time between two reads of the operators' rows, and the age up to which copies of rows may be used.
const OPERATOR_READ_PERIOD: Duration = Duration::from_millis(500);
const MAX_AGE: Duration = Duration::from_secs(2);
/// Wall-clock time at the start of a simulation.
pub const START_UNIX_MS: u64 = 1_000_000;

/// Queue of a higher priority than that of [`QUEUE`].
pub const URGENT_QUEUE: &str = "urgent";

/// Clock that follows the paused clock of the runtime.
#[derive(Debug)]
struct SimClock {
    began: Instant,
}

impl Clock for SimClock {
    fn now(&self) -> std::time::Instant {
        Instant::now().into_std()
    }

    fn boot(&self) -> Duration {
        self.began.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.began.elapsed().as_millis() as u64
    }

    fn sleep(&self, _duration: Duration) {
        unreachable!("the event loop never blocks");
    }
}

/// Whether the tasks of a process run.
#[derive(Debug, Default)]
struct Gate {
    is_killed: Cell<bool>,
    paused_until: Cell<Duration>,
    waker: RefCell<Option<Waker>>,
}

impl Gate {
    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// Runs the tasks of a process while its gate is open.
struct GatedTasks {
    world: Rc<World>,
    gate: Rc<Gate>,
    tasks: LocalSet,
}

impl Future for GatedTasks {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        *self.gate.waker.borrow_mut() = Some(context.waker().clone());
        if self.gate.is_killed.get() {
            return Poll::Ready(());
        }
        if self.world.now() < self.gate.paused_until.get() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tasks).poll(context)
    }
}

/// A process that watches shard 0, and owns it at times.
pub struct Process {
    pub vm: String,
    pub node: Rc<Node<Port>>,
    world: Rc<World>,
    gate: Rc<Gate>,
}

impl Process {
    pub fn start(world: &Rc<World>, vm: &str, timing: Timing) -> Self {
        let cfg = NodeSettings {
            vm: vm.to_owned(),
            cpu_share: 1.0,
            timing,
            max_row_bytes: ROW_BYTES,
            keep_ended: Duration::from_secs(1_000),
            call_timeout: Duration::from_secs(3),
            max_operator_config_age: MAX_AGE,
            max_worker_list_age: MAX_AGE,
            max_jobs_age: MAX_AGE,
        };
        let port = Port { world: Rc::clone(world), vm: vm.to_owned(), clock: Cell::default() };
        let clock = Arc::new(SimClock { began: world.began });
        let node = Rc::new(Node::new(cfg, clock, port, Metrics::disabled()));
        node.set_map(ShardMap { shards: 1 });
        node.replace_operator_config(OperatorConfig {
            version: 1,
            queues: BTreeMap::from([
                (QUEUE.to_owned(), policy()),
                (URGENT_QUEUE.to_owned(), QueuePolicy { priority: 0, ..policy() }),
            ]),
            ..OperatorConfig::default()
        });
        let tasks = LocalSet::new();
        tasks.spawn_local(confirm_operator_config(Rc::clone(&node)));
        tasks.spawn_local(watch::run(Rc::clone(&node), ShardId(0)));
        let gate = Rc::new(Gate::default());
        let gated = GatedTasks { world: Rc::clone(world), gate: Rc::clone(&gate), tasks };
        world.spawn(gated);
        Self { vm: vm.to_owned(), node, world: Rc::clone(world), gate }
    }

    /// Ends the process without a trace.
    pub fn kill(&self) {
        self.gate.is_killed.set(true);
        self.gate.wake();
    }

    /// Suspends the process.
    pub fn pause(&self, length: Duration) {
        let until = self.world.now() + length;
        self.gate.paused_until.set(self.gate.paused_until.get().max(until));
        let gate = Rc::clone(&self.gate);
        self.world.spawn(async move {
            sleep(length).await;
            gate.wake();
        });
    }
}

/// Reads the operators' rows, which do not change.
async fn confirm_operator_config(node: Rc<Node<Port>>) {
    loop {
        let sent = node.clock.boot();
        let outcome = node.port.call_store(STORE_TIMEOUT, async {}).await;
        node.record_operator_config_read(sent, outcome.as_ref().err());
        sleep(OPERATOR_READ_PERIOD).await;
    }
}
