//! Serves the stand-ins of the store and the workers over HTTP, on a single-threaded event loop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use plantainlever::net::budget::{BudgetLimits, RequestBudget};
use plantainlever::net::server::{self, Received, Reply, ServerLimits};
use plantainlever::telemetry::Metrics;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::world::{RowId, StoreMode, WorkerMode, World};

/// Maximum lease that a worker grants, on its own clock.
pub const MAX_LEASE: Duration = Duration::from_secs(6);

/// Delay of calls that must stay unanswered; longer than every timeout of the processes.
const UNANSWERED_DELAY: Duration = Duration::from_secs(60);

/// Pause between two polls while a long poll waits.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// State of the stand-ins, shared by the event loop, the callers and the fault injection.
pub type SharedWorld = Arc<Mutex<World>>;

/// Locks the world. Ignores poisoning: the panic hook has reported the panic that caused it.
pub fn lock(world: &SharedWorld) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves the store and `workers` workers until `stop` is true, under addresses of their own for each of `nodes`
/// processes. Sends the addresses: for each process that of the store, then those of the workers.
pub fn run(
    world: &SharedWorld,
    nodes: usize,
    workers: usize,
    addresses: &std::sync::mpsc::Sender<Vec<SocketAddr>>,
    stop: &watch::Receiver<bool>,
) -> Result<(), std::io::Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut bound = Vec::new();
        let memory = BudgetLimits { bytes: REQUEST_MEMORY_BYTES, copies: 1 };
        let budget = RequestBudget::new(memory, Metrics::disabled());
        for (node, index) in (0..nodes).flat_map(|node| (0..=workers).map(move |i| (node, i))) {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            bound.push(listener.local_addr()?);
            let (world, stop, budget) = (Arc::clone(world), stop.clone(), Rc::clone(&budget));
            let answer = move |req| answer(Arc::clone(&world), node, index.checked_sub(1), req);
            tokio::task::spawn_local(server::serve(listener, limits(), budget, stop, answer));
        }
        if addresses.send(bound).is_err() {
            return Ok(());
        }
        let mut stop = stop.clone();
        // The sender is dropped only if the soak has panicked.
        let _ = stop.wait_for(|is_over| *is_over).await;
        Ok(())
    })
}

/// Memory for the requests of all processes under test together; more than they send.
const REQUEST_MEMORY_BYTES: usize = 1 << 30;

fn limits() -> ServerLimits {
    ServerLimits {
        header_bytes: 16 << 10,
        header_time: UNANSWERED_DELAY,
        body_bytes: 2 << 20,
        body_time: UNANSWERED_DELAY,
        connections: 2_000,
        default_header: None,
    }
}

async fn answer(world: SharedWorld, node: usize, worker: Option<usize>, req: Received) -> Reply {
    let body = req.body.as_ref().ok().filter(|body| !body.is_empty());
    let body = body.and_then(|body| serde_json::from_slice(body).ok()).unwrap_or(Value::Null);
    let (status, body) = match worker {
        Some(index) => on_worker_request(&world, (node, index), &req, &body).await,
        None => on_store_request(&world, node, &req, &body).await,
    };
    Reply::json(hyper::StatusCode::from_u16(status).unwrap_or_default(), body.to_string().into())
}

async fn on_store_request(
    world: &SharedWorld,
    node: usize,
    req: &Received,
    body: &Value,
) -> (u16, Value) {
    let mode = lock(world).store;
    match mode {
        StoreMode::Busy => return (503, Value::Null),
        StoreMode::Silent => tokio::time::sleep(UNANSWERED_DELAY).await,
        StoreMode::Slow(delay) => tokio::time::sleep(delay).await,
        StoreMode::Well | StoreMode::Lost | StoreMode::Late(_) => {}
    }
    match req.uri.path() {
        "/rows-tx" => {
            if let StoreMode::Late(delay) = mode {
                tokio::time::sleep(delay).await;
            }
            let answer = transact(&mut lock(world), body);
            if matches!(mode, StoreMode::Lost | StoreMode::Late(_)) {
                tokio::time::sleep(UNANSWERED_DELAY).await;
            }
            answer
        }
        "/rows-get" => read(&lock(world), node, &query(req)),
        "/rows-feed" => feed(world, node, &query(req)).await,
        _ => (404, Value::Null),
    }
}

fn query(req: &Received) -> std::collections::BTreeMap<String, String> {
    let pairs = req.uri.query().unwrap_or_default().split('&');
    let decode = |text: &str| percent_encoding::percent_decode_str(text).decode_utf8_lossy().into();
    pairs
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}

fn string_field(entry: &Value, field: &str) -> String {
    entry[field].as_str().unwrap_or_default().to_owned()
}

/// Largest value of a row, in bytes of its encoding: 65,536 bytes in base64.
const MAX_ENCODED_ROW_BYTES: usize = 65_536 / 3 * 4 + 4;

/// Most entries of a transaction.
const MAX_ENTRIES: usize = 100;

/// Applies a transaction if its conditions hold; otherwise answers 412 with the current rows of the conditions.
fn transact(world: &mut World, body: &Value) -> (u16, Value) {
    let entries = |field: &str| body[field].as_array().cloned().unwrap_or_default();
    let id = |entry: &Value| {
        (string_field(entry, "table"), string_field(entry, "part"), string_field(entry, "key"))
    };
    let current = |world: &World, entry: &Value| {
        world.rows.get(&id(entry)).filter(|row| row.1.is_some()).map_or(0, |row| row.0)
    };
    let conditions = entries("expected-rev");
    let writes = entries("writes");
    let is_too_large =
        writes.iter().any(|entry| string_field(entry, "value").len() > MAX_ENCODED_ROW_BYTES);
    if is_too_large || conditions.len() + writes.len() + entries("remove").len() > MAX_ENTRIES {
        return (400, Value::Null);
    }
    if conditions.iter().any(|entry| Some(current(world, entry)) != entry["ver"].as_u64()) {
        let rows = conditions.iter().filter(|entry| current(world, entry) > 0);
        let rows: Vec<Value> = rows
            .map(|entry| {
                let (ver, value) = &world.rows[&id(entry)];
                json!({ "table": entry["table"], "part": entry["part"], "key": entry["key"],
                    "ver": ver, "value": value })
            })
            .collect();
        return (412, json!({ "ver": world.version, "now-ms": world.clock_ms(), "rows": rows }));
    }
    world.version += 1;
    for entry in writes {
        if entry["table"] == "owners" && entry["key"] == "owner" {
            world.record_owner(&string_field(&entry, "value"));
        }
        world.rows.insert(id(&entry), (world.version, Some(string_field(&entry, "value"))));
    }
    for entry in entries("remove") {
        world.rows.insert(id(&entry), (world.version, None));
    }
    world.change_unrelated_row();
    (200, json!({ "ver": world.version, "now-ms": world.clock_ms() }))
}

/// Returns a row's value as a process reads it: a worker's entry has the address of the link from this process.
fn value_for(world: &World, node: usize, id: &RowId, value: Option<&str>) -> Option<String> {
    let worker = world.workers.iter().find(|worker| id.0 == "servers" && worker.id == id.2);
    let entry = worker.and_then(|worker| {
        let entry = String::from_utf8(BASE64_STANDARD.decode(value?).ok()?).ok()?;
        let entry = entry.replace(&worker.addresses[0], &worker.addresses[node]);
        Some(BASE64_STANDARD.encode(entry))
    });
    entry.or_else(|| value.map(str::to_owned))
}

type Query = std::collections::BTreeMap<String, String>;

fn read(world: &World, node: usize, query: &Query) -> (u16, Value) {
    let field = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (table, part, from, to) = (field("table"), field("part"), field("from"), field("target"));
    let is_wanted = |(row_table, row_part, key): &(String, String, String)| {
        *row_table == table && *row_part == part && *key >= from && (to.is_empty() || *key < to)
    };
    let rows = world.rows.iter().filter(|(id, (_, value))| is_wanted(id) && value.is_some());
    let mut rows: Vec<Value> = rows
        .take(501)
        .map(|(id, (ver, value))| {
            let value = value_for(world, node, id, value.as_deref());
            json!({ "table": id.0, "part": id.1, "key": id.2, "ver": ver, "value": value })
        })
        .collect();
    let has_more = rows.len() > 500;
    rows.truncate(500);
    let now_ms = world.clock_ms();
    (200, json!({ "rows": rows, "has-more": has_more, "ver": world.version, "now-ms": now_ms }))
}

/// Long poll for rows changed after a version; 410 if those changes have been compacted away.
async fn feed(world: &SharedWorld, node: usize, query: &Query) -> (u16, Value) {
    let number = |name: &str| query.get(name).and_then(|value| value.parse::<u64>().ok());
    let table = query.get("table").cloned().unwrap_or_default();
    let after = number("after").unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
    loop {
        {
            let world = lock(world);
            if after < world.compacted_up_to {
                return (410, Value::Null);
            }
            let mut rows: Vec<(u64, Value)> = world
                .rows
                .iter()
                .filter(|((row_table, ..), (ver, _))| *row_table == table && *ver > after)
                .map(|(id, (ver, value))| {
                    let value = value_for(&world, node, id, value.as_deref());
                    let row = json!({ "table": id.0, "part": id.1, "key": id.2, "ver": ver,
                        "value": value, "tombstone": value.is_none() });
                    (*ver, row)
                })
                .collect();
            if !rows.is_empty() || Instant::now() >= deadline {
                rows.sort_by_key(|row| row.0);
                let rows: Vec<Value> = rows.into_iter().map(|row| row.1).collect();
                let now_ms = world.clock_ms();
                return (200, json!({ "rows": rows, "ver": world.version, "now-ms": now_ms }));
            }
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

async fn on_worker_request(
    world: &SharedWorld,
    (node, index): (usize, usize),
    req: &Received,
    body: &Value,
) -> (u16, Value) {
    let (mode, id, incarnation) = {
        let worker = &lock(world).workers[index];
        (worker.mode, worker.id.clone(), worker.incarnation_started_unix_ms)
    };
    // A lost worker executes nothing, and neither does its next incarnation. The worker ID does not distinguish them.
    let is_lost = move |world: &World| {
        let worker = &world.workers[index];
        worker.mode == WorkerMode::Dead || worker.incarnation_started_unix_ms != incarnation
    };
    if mode == WorkerMode::Dead {
        tokio::time::sleep(UNANSWERED_DELAY).await;
        return (503, Value::Null);
    }
    if req.header("x-expect-instance") != Some(id.as_str()) {
        return (421, Value::Null);
    }
    let path = req.uri.path().to_owned();
    if let (WorkerMode::Late(delay), "/run-start" | "/run-stop") = (mode, path.as_str()) {
        let (world, body) = (Arc::clone(world), body.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            let mut world = lock(&world);
            if !is_lost(&world) {
                command(&mut world, (node, index), &path, &body);
            }
        });
        tokio::time::sleep(UNANSWERED_DELAY).await;
        return (503, Value::Null);
    }
    if path == "/run-start" {
        let delays = lock(world).draw_order_delays();
        if let Some(delays) = delays {
            // What a worker has taken it executes even if the connection closes.
            let order =
                start_later(Arc::clone(world), (node, index), body.clone(), delays, is_lost);
            return tokio::task::spawn_local(order).await.unwrap_or((503, Value::Null));
        }
    }
    if path != "/hold" {
        return command(&mut lock(world), (node, index), &path, body);
    }
    let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
    let deadline = Instant::now() + wait;
    if let Err(refused) = renew_lease(&mut lock(world), index, body) {
        return refused;
    }
    while Instant::now() < deadline && lock(world).workers[index].ended().is_empty() {
        tokio::time::sleep(POLL_PERIOD).await;
        lock(world).advance();
    }
    if is_lost(&lock(world)) {
        tokio::time::sleep(UNANSWERED_DELAY).await;
        return (503, Value::Null);
    }
    let (list, delay) = {
        let mut world = lock(world);
        (list_runs(&world, index), world.draw_order_delays())
    };
    if let Some([delay, _]) = delay {
        tokio::time::sleep(delay).await;
    }
    list
}

/// Takes a start command, executes it after the first delay and answers after the second one. In between, the worker
/// receives others, and what it has taken does not begin if its fencing token is no longer the highest.
async fn start_later(
    world: SharedWorld,
    (node, index): (usize, usize),
    body: Value,
    [until_start, until_answer]: [Duration; 2],
    is_lost: impl Fn(&World) -> bool,
) -> (u16, Value) {
    if let Some(refused) = check_fencing_token(&mut lock(&world), index, &body) {
        return refused;
    }
    tokio::time::sleep(until_start).await;
    if is_lost(&lock(&world)) {
        tokio::time::sleep(UNANSWERED_DELAY).await;
        return (503, Value::Null);
    }
    let answer = command(&mut lock(&world), (node, index), "/run-start", &body);
    tokio::time::sleep(until_answer).await;
    answer
}

/// Returns the refusal of a command whose fencing token is lower than the highest one received.
fn check_fencing_token(world: &mut World, index: usize, body: &Value) -> Option<(u16, Value)> {
    let worker = &mut world.workers[index];
    let token = body["fencing-token"].as_u64().unwrap_or(0);
    if token < worker.fencing_token {
        return Some((409, json!({ "clock-ms": worker.clock_ms(), "reason": "fence" })));
    }
    worker.fencing_token = token;
    None
}

/// Renews the lease of a worker and removes the run ends that the owner has acknowledged.
fn renew_lease(world: &mut World, index: usize, body: &Value) -> Result<(), (u16, Value)> {
    world.advance();
    if let Some(refused) = check_fencing_token(world, index, body) {
        return Err(refused);
    }
    world.workers[index].extend_lease(body["deadline-ms"].as_u64(), MAX_LEASE);
    world.acknowledge_ends(index, body["ack-cursor"].as_u64().unwrap_or(0));
    Ok(())
}

/// Builds the answer to a renewal: running and ended runs.
fn list_runs(world: &World, index: usize) -> (u16, Value) {
    let worker = &world.workers[index];
    let active: Vec<Value> =
        worker.runs().iter().map(|(task, run)| json!([task, run.number, "", 100, 0])).collect();
    let ended = worker
        .ended()
        .iter()
        .map(|(number, task, run, reason)| json!([number, task, run, reason, ""]));
    let ended: Vec<Value> = ended.collect();
    let clock_ms = worker.clock_ms();
    let body = json!({ "clock-ms": clock_ms, "born": worker.incarnation_started_unix_ms,
        "active": active, "finished": ended });
    (200, body)
}

/// Executes a command of a process to a worker, given by their indexes.
fn command(
    world: &mut World,
    (node, index): (usize, usize),
    path: &str,
    body: &Value,
) -> (u16, Value) {
    if let Some(refused) = check_fencing_token(world, index, body) {
        return refused;
    }
    let task = string_field(body, "task");
    let run = body["run"].as_u64().unwrap_or(0) as u32;
    let outcome = match path {
        "/run-start" => {
            let deadline_ms = body["deadline-ms"].as_u64().unwrap_or(0);
            let epoch = body["fencing-token"].as_u64().unwrap_or(0);
            world.start_run((node, index), epoch, (&task, run), deadline_ms, MAX_LEASE)
        }
        "/run-stop" => {
            world.workers[index].stop_run(&task, run);
            Ok(())
        }
        _ => Ok(()),
    };
    let clock_ms = world.workers[index].clock_ms();
    match outcome {
        Ok(()) => (200, json!({ "clock-ms": clock_ms })),
        Err(reason) => (409, json!({ "clock-ms": clock_ms, "reason": reason })),
    }
}
