//! The store and the workers over HTTP, on one event loop in a thread of its own.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use plantainlever::net::server::{self, Received, Reply, ServerLimits};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::world::{StoreMode, WorkerMode, World};

/// Longest lease that a worker grants.
pub const LEASE: Duration = Duration::from_secs(6);

/// An answer that never comes within any time limit.
const NEVER: Duration = Duration::from_secs(60);

/// Pause between two looks while a call waits.
const POLL: Duration = Duration::from_millis(10);

/// The world, shared by the event loop and the soak.
pub type Shared = Arc<Mutex<World>>;

/// Locks the world. A panic of the other side has been reported by the panic hook.
pub fn lock(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves the store, and `workers` workers, until `stop`. Sends their addresses, the store's first.
pub fn run(
    world: &Shared,
    workers: usize,
    addresses: &std::sync::mpsc::Sender<Vec<SocketAddr>>,
    stop: &watch::Receiver<bool>,
) -> Result<(), std::io::Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut bound = Vec::new();
        for index in 0..=workers {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            bound.push(listener.local_addr()?);
            let (world, stop) = (Arc::clone(world), stop.clone());
            let answer = move |req| answer(Arc::clone(&world), index.checked_sub(1), req);
            tokio::task::spawn_local(server::serve(listener, limits(), stop, answer));
        }
        if addresses.send(bound).is_err() {
            return Ok(());
        }
        let mut stop = stop.clone();
        // The sender is gone only if the soak has panicked.
        let _ = stop.wait_for(|is_over| *is_over).await;
        Ok(())
    })
}

fn limits() -> ServerLimits {
    ServerLimits {
        header_bytes: 16 << 10,
        header_time: NEVER,
        body_bytes: 2 << 20,
        body_time: NEVER,
        connections: 2_000,
        default_header: None,
    }
}

async fn answer(world: Shared, worker: Option<usize>, req: Received) -> Reply {
    let body = req.body.as_ref().ok().filter(|body| !body.is_empty());
    let body = body.and_then(|body| serde_json::from_slice(body).ok()).unwrap_or(Value::Null);
    let (status, body) = match worker {
        Some(index) => on_worker(&world, index, &req, &body).await,
        None => on_store(&world, &req, &body).await,
    };
    Reply::json(hyper::StatusCode::from_u16(status).unwrap_or_default(), body.to_string().into())
}

async fn on_store(world: &Shared, req: &Received, body: &Value) -> (u16, Value) {
    let mode = lock(world).store;
    match mode {
        StoreMode::Busy => return (503, Value::Null),
        StoreMode::Silent => tokio::time::sleep(NEVER).await,
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
                tokio::time::sleep(NEVER).await;
            }
            answer
        }
        "/rows-get" => read(&lock(world), &query(req)),
        "/rows-feed" => feed(world, &query(req)).await,
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

fn text(entry: &Value, field: &str) -> String {
    entry[field].as_str().unwrap_or_default().to_owned()
}

fn transact(world: &mut World, body: &Value) -> (u16, Value) {
    let entries = |field: &str| body[field].as_array().cloned().unwrap_or_default();
    let id = |entry: &Value| (text(entry, "table"), text(entry, "part"), text(entry, "key"));
    let current = |world: &World, entry: &Value| {
        world.rows.get(&id(entry)).filter(|row| row.1.is_some()).map_or(0, |row| row.0)
    };
    let conditions = entries("expected-rev");
    if conditions.iter().any(|entry| Some(current(world, entry)) != entry["ver"].as_u64()) {
        let rows = conditions.iter().filter(|entry| current(world, entry) > 0);
        let rows: Vec<Value> = rows
            .map(|entry| {
                let (ver, value) = &world.rows[&id(entry)];
                json!({ "table": entry["table"], "part": entry["part"], "key": entry["key"],
                    "ver": ver, "value": value })
            })
            .collect();
        return (412, json!({ "ver": world.ver, "rows": rows }));
    }
    world.ver += 1;
    for entry in entries("writes") {
        world.rows.insert(id(&entry), (world.ver, Some(text(&entry, "value"))));
    }
    for entry in entries("remove") {
        world.rows.insert(id(&entry), (world.ver, None));
    }
    (200, json!({ "ver": world.ver }))
}

type Query = std::collections::BTreeMap<String, String>;

fn read(world: &World, query: &Query) -> (u16, Value) {
    let field = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (table, part, from, to) = (field("table"), field("part"), field("from"), field("target"));
    let is_wanted = |(row_table, row_part, key): &(String, String, String)| {
        *row_table == table && *row_part == part && *key >= from && (to.is_empty() || *key < to)
    };
    let rows = world.rows.iter().filter(|(id, (_, value))| is_wanted(id) && value.is_some());
    let mut rows: Vec<Value> = rows
        .take(501)
        .map(|((table, part, key), (ver, value))| {
            json!({ "table": table, "part": part, "key": key, "ver": ver, "value": value })
        })
        .collect();
    let has_more = rows.len() > 500;
    rows.truncate(500);
    (200, json!({ "rows": rows, "has-more": has_more, "ver": world.ver }))
}

async fn feed(world: &Shared, query: &Query) -> (u16, Value) {
    let number = |name: &str| query.get(name).and_then(|value| value.parse::<u64>().ok());
    let table = query.get("table").cloned().unwrap_or_default();
    let after = number("after").unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
    loop {
        {
            let world = lock(world);
            if after < world.history_from {
                return (410, Value::Null);
            }
            let mut rows: Vec<(u64, Value)> = world
                .rows
                .iter()
                .filter(|((row_table, ..), (ver, _))| *row_table == table && *ver > after)
                .map(|((table, part, key), (ver, value))| {
                    let row = json!({ "table": table, "part": part, "key": key, "ver": ver,
                        "value": value, "tombstone": value.is_none() });
                    (*ver, row)
                })
                .collect();
            if !rows.is_empty() || Instant::now() >= until {
                rows.sort_by_key(|row| row.0);
                let rows: Vec<Value> = rows.into_iter().map(|row| row.1).collect();
                return (200, json!({ "rows": rows, "ver": world.ver }));
            }
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn on_worker(world: &Shared, index: usize, req: &Received, body: &Value) -> (u16, Value) {
    let (mode, id) = {
        let world = lock(world);
        (world.workers[index].mode, world.workers[index].id.clone())
    };
    if mode == WorkerMode::Dead {
        tokio::time::sleep(NEVER).await;
    }
    if req.header("x-expect-instance") != Some(id.as_str()) {
        return (421, Value::Null);
    }
    let path = req.uri.path().to_owned();
    if let (WorkerMode::Late(delay), "/run-start" | "/run-stop") = (mode, path.as_str()) {
        let (world, body, born) =
            (Arc::clone(world), body.clone(), lock(world).workers[index].born);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            // A later incarnation knows nothing of the command; the identity alone doesn't tell the incarnations apart.
            if lock(&world).workers[index].born == born {
                command(&mut lock(&world), index, &path, &body);
            }
        });
        tokio::time::sleep(NEVER).await;
        return (503, Value::Null);
    }
    if path != "/hold" {
        return command(&mut lock(world), index, &path, body);
    }
    let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
    let until = Instant::now() + wait;
    if let Err(refused) = hold(&mut lock(world), index, body) {
        return refused;
    }
    while Instant::now() < until && lock(world).workers[index].ended().is_empty() {
        tokio::time::sleep(POLL).await;
        lock(world).advance();
    }
    lists(&lock(world), index)
}

fn fenced(world: &mut World, index: usize, body: &Value) -> Option<(u16, Value)> {
    let worker = &mut world.workers[index];
    let token = body["fencing-token"].as_u64().unwrap_or(0);
    if token < worker.token {
        return Some((409, json!({ "clock-ms": worker.clock_ms(), "reason": "fence" })));
    }
    worker.token = token;
    None
}

fn hold(world: &mut World, index: usize, body: &Value) -> Result<(), (u16, Value)> {
    world.advance();
    if let Some(refused) = fenced(world, index, body) {
        return Err(refused);
    }
    world.workers[index].extend(body["deadline-ms"].as_u64(), LEASE);
    world.acknowledge(index, body["ack-cursor"].as_u64().unwrap_or(0));
    Ok(())
}

fn lists(world: &World, index: usize) -> (u16, Value) {
    let worker = &world.workers[index];
    let active: Vec<Value> =
        worker.runs().iter().map(|(task, run)| json!([task, run.number, "", 100, 0])).collect();
    let ended = worker.ended().iter().map(|(n, task, run, how)| json!([n, task, run, how, ""]));
    let ended: Vec<Value> = ended.collect();
    let clock_ms = worker.clock_ms();
    let body =
        json!({ "clock-ms": clock_ms, "born": worker.born, "active": active, "finished": ended });
    (200, body)
}

fn command(world: &mut World, index: usize, path: &str, body: &Value) -> (u16, Value) {
    if let Some(refused) = fenced(world, index, body) {
        return refused;
    }
    let task = text(body, "task");
    let run = body["run"].as_u64().unwrap_or(0) as u32;
    let outcome = match path {
        "/run-start" => {
            let deadline_ms = body["deadline-ms"].as_u64().unwrap_or(0);
            world.start(index, &task, run, deadline_ms, LEASE)
        }
        "/run-stop" => {
            world.workers[index].stop(&task, run);
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
