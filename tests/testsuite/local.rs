//! Stand-ins that `dev` and other tests use.

use std::sync::Arc;
use std::time::Duration;

use plantainlever::clock::ManualClock;
use plantainlever::local::History;
use plantainlever::local::worker::{
    Checkpoints, DirectWorkers, RESTART_TIME, WorkerGroup, WorkerSpec,
};
use plantainlever::platform::PlatformError;
use plantainlever::platform::worker::{
    AttemptState, Inventory, InventoryRequest, StartRequest, StartResult, WorkerClient,
};
use plantainlever::task::TaskId;
use plantainlever::worker::Resources;
use serde_json::{Value, json};

const CAPACITY: Resources = Resources::new(4_000, 8_192, 0);

/// Run time of the crashing tasks.
const RUN_TIME: Duration = Duration::from_millis(500);

/// A group with one worker, on a manual clock.
struct Rig {
    clock: Arc<ManualClock>,
    group: WorkerGroup,
    worker: DirectWorkers,
}

impl Rig {
    fn new() -> Self {
        let clock = Arc::new(ManualClock::new());
        let history = History::new(Arc::clone(&clock) as Arc<_>);
        let spec = WorkerSpec { name: "w".to_owned(), domain: "a".to_owned(), capacity: CAPACITY };
        let group = WorkerGroup::start(
            ([127, 0, 0, 1], 0).into(),
            1,
            vec![spec],
            Checkpoints::default(),
            history,
        )
        .unwrap();
        let worker = group.direct();
        Self { clock, group, worker }
    }

    fn inventory(&self) -> Result<Inventory, PlatformError> {
        self.worker.inventory("w", &InventoryRequest::default())
    }

    fn start(&self, task: &str, args: Value) -> StartResult {
        let inventory = self.inventory().unwrap();
        let req = StartRequest {
            task: TaskId::new(task),
            attempt: 1,
            entry: "run".to_owned(),
            args,
            resources: Resources::new(1_000, 1_024, 0),
            checkpoint: None,
            incarnation: inventory.incarnation,
            lease_until_ms: inventory.time_ms + 60_000,
        };
        self.worker.start("w", &req).unwrap()
    }
}

/// Guards against a crash that leaves something of the previous incarnation, or a worker that is reachable before its
/// restart.
#[test]
fn a_crashing_task_takes_its_worker_away_until_the_next_incarnation() {
    let rig = Rig::new();
    let before = rig.inventory().unwrap().incarnation;
    let run_ms = RUN_TIME.as_millis();
    assert_eq!(rig.start("neighbour", json!({})), StartResult::Started);
    assert_eq!(rig.start("crash", json!({"crash": true, "run_ms": run_ms})), StartResult::Started);
    rig.clock.advance(RUN_TIME - Duration::from_millis(1));
    assert_eq!(rig.inventory().unwrap().attempts.len(), 2);

    rig.clock.advance(Duration::from_millis(1));
    assert!(matches!(rig.inventory(), Err(PlatformError::Unreachable { .. })));
    assert_eq!(rig.group.running("w"), []);
    rig.clock.advance(RESTART_TIME - Duration::from_millis(1));
    assert!(matches!(rig.inventory(), Err(PlatformError::Unreachable { .. })));

    rig.clock.advance(Duration::from_millis(1));
    let inventory = rig.inventory().unwrap();
    assert!(inventory.incarnation > before, "{inventory:?}");
    assert_eq!(inventory.attempts, []);
    rig.group.close();
}

/// Guards against a crash by an attempt that was stopped before.
#[test]
fn a_stopped_attempt_does_not_crash_its_worker() {
    let rig = Rig::new();
    let before = rig.inventory().unwrap().incarnation;
    rig.start("crash", json!({"crash": true, "run_ms": RUN_TIME.as_millis()}));
    let attempt = rig.group.running("w").remove(0);
    rig.worker.stop("w", &plantainlever::platform::worker::StopRequest { attempt }).unwrap();
    rig.clock.advance(RUN_TIME);
    let inventory = rig.inventory().unwrap();
    assert_eq!(
        (inventory.incarnation, inventory.attempts[0].state),
        (before, AttemptState::Stopped)
    );
    rig.group.close();
}

/// Guards against a changed capacity that ends attempts, or that a restart undoes.
#[test]
fn a_capacity_changes_while_attempts_run() {
    let rig = Rig::new();
    rig.start("task", json!({}));
    let shrunk = Resources::new(500, 1_024, 0);
    rig.group.set_capacity("w", shrunk);
    let inventory = rig.inventory().unwrap();
    assert_eq!((inventory.capacity, inventory.attempts.len()), (shrunk, 1));
    rig.group.restart("w");
    assert_eq!(rig.inventory().unwrap().capacity, shrunk);
    rig.group.set_capacity("w", CAPACITY);
    assert_eq!(rig.inventory().unwrap().capacity, CAPACITY);
    rig.group.close();
}
