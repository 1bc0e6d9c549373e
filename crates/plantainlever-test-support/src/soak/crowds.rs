//! Crowds of clients that hold back the end of their requests, beside the other faults of a soak.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::calm::{submission_body, submission_head};
use super::serve::lock;
use super::{SoakCluster, VmLimits};
use crate::crowd::{Crowd, Script};
use crate::usage;

/// VMs of a run with crowds, small enough for a crowd to exceed them.
pub(super) const VM_LIMITS: VmLimits = VmLimits { memory_mb: 64, max_fds: 1_600 };

/// Salt of the random numbers.
const SEED_SALT: u64 = 0x0517_c40d;

/// Job that the requests name, and that none of them submits completely.
const JOB: &str = "ffffffffffffffff";

/// Body of most of them, just below the largest legal one.
const BODY_BYTES: usize = 262_000;

/// Connections of a crowd.
const CONNECTIONS: std::ops::Range<usize> = 50..300;

/// Time for which a crowd stays after it has sent all, in ms.
const STAY_MS: std::ops::Range<u64> = 0..2_500;

/// Time until the next one, in ms.
const PAUSE_MS: std::ops::Range<u64> = 100..2_000;

/// Starts the thread that sends crowds to random processes until `stop`. It returns descriptions of them.
pub(super) fn start(
    cluster: &SoakCluster,
    seed: u64,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<Vec<String>> {
    let fronts: Vec<SocketAddr> = cluster.nodes.iter().map(super::NodeProcess::front).collect();
    let stop = Arc::clone(stop);
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
    std::thread::spawn(move || {
        let (began, scripts) = (Instant::now(), scripts());
        let mut sent = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let node = rng.random_range(0..fronts.len());
            let (name, script) = &scripts[rng.random_range(0..scripts.len())];
            let count = rng.random_range(CONNECTIONS);
            let after_s = began.elapsed().as_secs_f64();
            sent.push(format!("{after_s:.1} s: {count} connections, {name}, to process {node}"));
            let mut crowd = Crowd::default();
            // The process may be down or suspended.
            let _ = crowd.join_many(count, fronts[node], script);
            crowd.send();
            std::thread::sleep(Duration::from_millis(rng.random_range(STAY_MS)));
            drop(crowd);
            std::thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
        sent
    })
}

fn scripts() -> Vec<(&'static str, Script)> {
    let (head, body) = (submission_head(JOB), submission_body(BODY_BYTES));
    vec![
        ("silent", Script::silent()),
        ("endless headers", Script::endless_header(&head, 15_000)),
        ("bodies one byte short", Script::announced(&head, &body, 1)),
        ("bodies in pieces", Script::announced(&head, &body, 1).in_pieces(4_096)),
        ("large chunks", Script::chunked(&head, &body, 64 << 10, false)),
        ("tiny chunks", Script::chunked(&head, &body[..16 << 10], 1, false)),
        ("announced over the limit", Script::announced_length(&head, 16 << 20, 1 << 20)),
        ("sent over the limit", Script::chunked(&head, &vec![b' '; 1 << 20], 64 << 10, true)),
    ]
}

/// Reports a breach for each running process that has used more memory than its VM has.
pub(super) fn check_memory(cluster: &mut SoakCluster) {
    let limit = cluster.vm_limits.memory_mb << 20;
    for (index, node) in cluster.nodes.iter_mut().enumerate() {
        let used = if node.is_running() { usage::peak_memory_bytes(node.pid()) } else { 0 };
        if used > limit {
            let breach = format!("process {index} has used {used} of {limit} bytes of memory");
            lock(&cluster.world).breaches.push(breach);
        }
    }
}
