//! Clients that hold back the end of their requests, send more than the limits or never read, many at the same time.
//!
//! The processes run with the limits of a small VM. Each test checks that the process lives, that its memory, the
//! buffers of its connections and its descriptors stay within those of the VM, and that an ordinary request is answered.
//! `.ci/test` runs these tests one at a time, after all others.

mod entry;
mod node;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use plantainlever_test_support::usage::Usage;
use ureq::Agent;

/// Held by each test, so that no two crowds run at the same time.
static TURN: Mutex<()> = Mutex::new(());

fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time limit of an ordinary request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

fn agent() -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .http_status_as_error(false)
        .proxy(None)
        .build();
    config.into()
}

/// Status of an ordinary GET on a new connection, or why there is none.
fn get(address: SocketAddr, path: &str) -> Result<u16, String> {
    let answer = agent().get(format!("http://{address}{path}")).call();
    answer.map(|answer| answer.status().as_u16()).map_err(|e| e.to_string())
}

#[track_caller]
fn assert_within(usage: Usage, memory_bytes: usize, descriptors: usize) {
    println!(
        "{} KiB of memory, {} KiB in buffers, {} descriptors",
        usage.memory_bytes >> 10,
        usage.buffered_bytes >> 10,
        usage.descriptors
    );
    assert!(usage.memory_bytes > 0, "the process has ended");
    assert!(usage.total_bytes() <= memory_bytes, "{usage:?} is over {memory_bytes} bytes");
    assert!(usage.descriptors <= descriptors, "{usage:?} is over {descriptors} descriptors");
}
