//! Sites and checks shared by the tests of the guarantees.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use plantainlever::catalogue::{Class, Document, Entry, EntryLimits};
use plantainlever::domain::hold::row_key;
use plantainlever::ops::client::Client;
use plantainlever::ops::client::message::TaskView;
use plantainlever::platform::table::{ReadRequest, Table};
use plantainlever::task::TaskState;
use plantainlever::worker::Resources;
use plantainlever_test_support::caller::Record;
use plantainlever_test_support::checker::{CheckLimits, check, check_callers};
use plantainlever_test_support::site::{Site, SiteBuilder};
use plantainlever_test_support::wait;

/// Catalogue entry of the latency-critical service that the callers use.
pub const BOOKING: &str = "booking";

/// Catalogue entry of the batch tasks.
pub const RECOMPUTE: &str = "recompute";

/// Resources of one batch task; four fit on a worker of these tests.
const RECOMPUTE_RESOURCES: Resources = Resources::new(2_000, 4_096, 0);

/// Time after which a condition that does not become true fails the test. On an idle machine each takes a few seconds.
pub const MAX_WAIT: Duration = Duration::from_secs(90);

fn entry(class: Class, per_task: Resources) -> Document {
    Document::Entry(Entry {
        owner: "depots".to_owned(),
        class,
        limits: EntryLimits { per_task, max_running: None, max_attempts: 5 },
        priority: 0,
        exclusive: None,
        idempotent: None,
        p99_target_ms: None,
        domains: Vec::new(),
    })
}

/// Returns a site with a service and batch tasks, with timing shortened so that a take-over takes seconds.
pub fn builder(domains: &[&str]) -> SiteBuilder {
    SiteBuilder::new(env!("CARGO_BIN_EXE_plantainlever"))
        .domains(domains)
        .entries_per_domain(2)
        .workers_per_domain(3, Resources::new(8_000, 16_384, 0))
        .targets_per_domain(BOOKING, 2)
        .document(BOOKING, entry(Class::LatencyCritical, Resources::default()))
        .document(RECOMPUTE, entry(Class::Batch, RECOMPUTE_RESOURCES))
        .timing(|timing| {
            timing.hold_time_ms = 8_000;
            timing.task_lease_ms = 6_000;
        })
}

/// Returns the addresses of all entry processes.
pub fn addresses(site: &Site) -> Vec<SocketAddr> {
    site.entries().iter().map(|entry| entry.process.address()).collect()
}

/// Submits batch tasks and returns their IDs.
pub fn submit(client: &Client, count: usize, run_ms: u64) -> Vec<String> {
    let args = serde_json::json!({ "run_ms": run_ms });
    (0..count).map(|_| client.submit(RECOMPUTE, &args).unwrap().id).collect()
}

/// Waits until all these tasks have succeeded, and returns them.
pub fn wait_succeeded(client: &Client, ids: &[String]) -> Vec<TaskView> {
    wait::until("all tasks succeed", MAX_WAIT, || {
        let tasks = tasks(client, ids)?;
        let left: Vec<_> = tasks.iter().filter(|task| task.state != TaskState::Succeeded).collect();
        if left.is_empty() { Ok(tasks) } else { Err(format!("{} left: {left:?}", left.len())) }
    })
}

/// Returns these tasks as the process of `client` sees them.
pub fn tasks(client: &Client, ids: &[String]) -> Result<Vec<TaskView>, String> {
    let seen = |id: &String| client.task(id).map_err(|error| error.to_string());
    ids.iter().map(seen).collect()
}

/// Waits until the hold of a domain names a successor and a rescuer.
pub fn wait_listed(site: &Site, domain: &str) {
    let req = ReadRequest { keys: vec![row_key(domain)], ..ReadRequest::default() };
    wait::until("the hold names the other processes", MAX_WAIT, || {
        let rows = site.table().read(&req).map_err(|error| error.to_string())?;
        let value = rows.row(&row_key(domain)).and_then(|row| row.value.clone());
        let value = value.unwrap_or_default();
        let names = |list: &str| value[list].as_array().is_some_and(|names| !names.is_empty());
        if names("successors") && names("rescuers") { Ok(()) } else { Err(value.to_string()) }
    });
}

/// Returns the number of these tasks that run; 0 if the process of `client` does not answer.
pub fn running(client: &Client, ids: &[String]) -> usize {
    let tasks = tasks(client, ids).unwrap_or_default();
    tasks.iter().filter(|task| task.state == TaskState::Running).count()
}

/// Retries an operator's edit until it is accepted.
pub fn accepted<T, E: Display>(what: &str, mut edit: impl FnMut() -> Result<T, E>) -> T {
    wait::until(what, MAX_WAIT, || edit().map_err(|error| error.to_string()))
}

/// Returns the name of the process that schedules a domain, by the status page of the process of `client`.
pub fn scheduler_of(client: &Client, domain: &str) -> Option<String> {
    let status = client.status().ok()?;
    let found = status.domains.into_iter().find(|status| status.name == domain)?;
    found.scheduler
}

/// Fails the test if the history, or an answer that a caller received, violates a guarantee.
#[track_caller]
pub fn assert_guarantees(site: &Site, records: &[Record]) {
    let history = site.history().snapshot();
    let mut broken = check(&history, &CheckLimits::default());
    broken.extend(check_callers(&history, records));
    assert!(broken.is_empty(), "{broken:#?}");
    for record in records {
        for attempt in record.attempts.iter().filter(|attempt| attempt.status == Some(200)) {
            assert_eq!(attempt.body, record.body, "the answer to {} is another one's", record.key);
        }
    }
}
