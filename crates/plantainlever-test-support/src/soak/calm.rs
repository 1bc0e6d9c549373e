//! Node processes with stand-ins of the store and the workers, without injected faults.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use super::serve::{SharedWorld, lock};
use super::world::{Payload, StoreMode, World};
use super::{HOST, NodeProcess, PREFIX, SoakCluster, StandIns, VmLimits, routes, start_cluster};

/// Number of workers of a cluster.
const WORKERS: usize = 2;

/// CPU of a task in thousandths of a core.
const TASK_CPU: u64 = 100;

/// Run time of a task in ms.
const TASK_TIME_MS: u64 = 10;

/// A running cluster. Dropping it stops the processes and the stand-ins.
#[derive(Debug)]
pub struct CalmCluster {
    /// Declared first, so that the processes end before the stand-ins.
    cluster: SoakCluster,
    stand_ins: Option<StandIns>,
}

impl CalmCluster {
    /// Starts `nodes` processes on VMs with these limits, and a queue to which jobs can be submitted.
    ///
    /// # Errors
    ///
    /// If a process or a stand-in cannot be started.
    pub fn start(binary: &Path, nodes: usize, limits: VmLimits) -> Result<Self, std::io::Error> {
        let world: SharedWorld = Arc::new(Mutex::new(World::default()));
        lock(&world).began = Some(Instant::now());
        let (stand_ins, addresses) = StandIns::start(&world, nodes, WORKERS)?;
        let cluster = start_cluster(binary, &world, nodes, limits, &addresses)?;
        routes::publish(&world, 1, &[]);
        Ok(Self { cluster, stand_ins: Some(stand_ins) })
    }

    /// The processes.
    pub fn nodes(&mut self) -> &mut [NodeProcess] {
        &mut self.cluster.nodes
    }

    /// Changes how the store behaves.
    pub fn set_store(&self, mode: StoreMode) {
        lock(&self.cluster.world).store = mode;
    }

    /// Lets the workers accept the task of a job that is submitted with [`submission_body`].
    pub fn expect_job(&self, job: &str) {
        let payload = Payload {
            cpu: TASK_CPU,
            ms: TASK_TIME_MS,
            counts: vec![1],
            is_long_running: false,
            crashing_task: None,
        };
        lock(&self.cluster.world).submitted.insert(job.to_owned(), payload);
    }

    /// Breaches of an invariant that the stand-ins have found.
    #[must_use]
    pub fn breaches(&self) -> Vec<String> {
        lock(&self.cluster.world).breaches.clone()
    }

    /// Returns true if the store has a row of this job.
    #[must_use]
    pub fn is_stored(&self, job: &str) -> bool {
        lock(&self.cluster.world).rows.keys().any(|(_, _, key)| key == job)
    }

    /// Number of starts of tasks of this job that the workers have carried out.
    #[must_use]
    pub fn starts(&self, job: &str) -> usize {
        let world = lock(&self.cluster.world);
        world.starts.iter().filter(|(task, ..)| task.starts_with(job)).count()
    }
}

impl Drop for CalmCluster {
    fn drop(&mut self) {
        if let Some(stand_ins) = self.stand_ins.take() {
            // The processes may still call, which does not keep the stand-ins from stopping.
            let _ = stand_ins.close();
        }
    }
}

/// Head of a request that submits a job, without the empty line at its end.
#[must_use]
pub fn submission_head(job: &str) -> String {
    format!("POST {PREFIX}{job} HTTP/1.1\r\nHost: {HOST}\r\n")
}

/// Body of a request that submits a job of one short task, filled with spaces up to `length` bytes.
#[must_use]
pub fn submission_body(length: usize) -> Vec<u8> {
    let step = serde_json::json!({ "count": 1, "cpu": TASK_CPU, "mem-mb": 1 });
    let mut body = serde_json::json!({ "spec": "calm", "steps": [step] }).to_string().into_bytes();
    body.resize(body.len().max(length), b' ');
    body
}
