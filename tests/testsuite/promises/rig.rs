//! Sites and checks that these tests share.

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

/// The service of bookings.
pub const BOOKING: &str = "booking";

/// The batch entry of recomputes.
pub const RECOMPUTE: &str = "recompute";

/// What one recompute may use; four fit on a worker of these tests.
const RECOMPUTE_RESOURCES: Resources = Resources::new(2_000, 4_096, 0);

/// Bound for work that takes a few seconds on an idle machine.
pub const BOUND: Duration = Duration::from_secs(90);

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

/// A site with a booking service and recomputes, and holds that pass on within seconds.
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

/// Addresses of all entry processes.
pub fn addresses(site: &Site) -> Vec<SocketAddr> {
    site.entries().iter().map(|entry| entry.process.address()).collect()
}

/// Submits recomputes and returns their ids.
pub fn submit(client: &Client, count: usize, run_ms: u64) -> Vec<String> {
    let args = serde_json::json!({ "run_ms": run_ms });
    (0..count).map(|_| client.submit(RECOMPUTE, &args).unwrap().id).collect()
}

/// Waits until all these tasks have succeeded, and returns them.
pub fn wait_succeeded(client: &Client, ids: &[String]) -> Vec<TaskView> {
    wait::until("all tasks succeed", BOUND, || {
        let tasks = tasks(client, ids)?;
        let left: Vec<_> = tasks.iter().filter(|task| task.state != TaskState::Succeeded).collect();
        if left.is_empty() { Ok(tasks) } else { Err(format!("{} left: {left:?}", left.len())) }
    })
}

/// These tasks as a process sees them.
pub fn tasks(client: &Client, ids: &[String]) -> Result<Vec<TaskView>, String> {
    let seen = |id: &String| client.task(id).map_err(|error| error.to_string());
    ids.iter().map(seen).collect()
}

/// Waits until the hold of a domain names a successor and a rescuer.
pub fn wait_listed(site: &Site, domain: &str) {
    let req = ReadRequest { keys: vec![row_key(domain)], ..ReadRequest::default() };
    wait::until("the hold names the other processes", BOUND, || {
        let rows = site.table().read(&req).map_err(|error| error.to_string())?;
        let value = rows.row(&row_key(domain)).and_then(|row| row.value.clone());
        let value = value.unwrap_or_default();
        let names = |list: &str| value[list].as_array().is_some_and(|names| !names.is_empty());
        if names("successors") && names("rescuers") { Ok(()) } else { Err(value.to_string()) }
    });
}

/// Number of these tasks that run.
pub fn running(client: &Client, ids: &[String]) -> usize {
    let tasks = tasks(client, ids).unwrap_or_default();
    tasks.iter().filter(|task| task.state == TaskState::Running).count()
}

/// Retries an operator's edit until it is accepted.
pub fn accepted<T, E: Display>(what: &str, mut edit: impl FnMut() -> Result<T, E>) -> T {
    wait::until(what, BOUND, || edit().map_err(|error| error.to_string()))
}

/// Name of the process that schedules a domain, as the status page of `client`'s process shows it.
pub fn scheduler_of(client: &Client, domain: &str) -> Option<String> {
    let status = client.status().ok()?;
    let found = status.domains.into_iter().find(|status| status.name == domain)?;
    found.scheduler
}

/// Fails the test if the history or what the callers were told breaks a promise.
#[track_caller]
pub fn assert_kept(site: &Site, records: &[Record]) {
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
