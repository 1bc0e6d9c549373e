//! Changes the routes of the configuration during a soak, and checks that no process decides by an old one, or returns
//! to an older one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::serve::{SharedWorld, lock};
use super::{ATTEMPTS, HOST, PREFIX, SoakCluster, caller};

/// Time after which an acknowledged change must be in force; the platform's `config-apply-ms`.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// Time for which a route exists.
const ROUTE_LIFETIME: Duration = Duration::from_millis(4_500);

/// Time after its removal for which requests are sent to a route.
const REMOVED_TIME: Duration = Duration::from_millis(4_500);

/// Part of the salt of the random numbers, so that the faults and jobs of a seed do not depend on this module.
const SEED_SALT: u64 = 0x0517_c0f1;

/// An acknowledged change of the configuration.
#[derive(Clone, Copy, Debug)]
struct Change {
    version: u64,
    acknowledged: Instant,
}

impl Change {
    fn elapsed(&self) -> Duration {
        self.acknowledged.elapsed()
    }
}

/// A route that was added during the soak.
#[derive(Debug)]
struct AddedRoute {
    prefix: String,
    added: Change,
    removed: Option<Change>,
}

/// A process, and the newest version by which it is known to have decided.
#[derive(Debug)]
struct Decider {
    front: SocketAddr,
    version: u64,
}

/// Versions after which the route of the soak's jobs gets another name.
const VERSIONS_PER_NAME: u64 = 4;

/// Stores a configuration with the soak's own route and one for each prefix. The soak's own route is renamed at times, at
/// the same address, which its jobs must not notice.
pub(super) fn publish(world: &SharedWorld, version: u64, prefixes: &[&str]) {
    let routes = std::iter::once(&PREFIX).chain(prefixes);
    let routes: Vec<serde_json::Value> = routes
        .map(|prefix| {
            let own_name = format!("queue-{}", version / VERSIONS_PER_NAME);
            serde_json::json!({ "name": if *prefix == PREFIX { own_name.as_str() } else { *prefix },
                "host": HOST, "path-prefix": prefix, "service": "pool", "priority": 0,
                "attempts": ATTEMPTS, "stretch": 2.0, "target-latency-ms": 1_000 })
        })
        .collect();
    let config = serde_json::json!({ "version": version, "routes": routes }).to_string();
    lock(world).put_row("op", "config", Some(BASE64_STANDARD.encode(config)));
}

/// Starts the thread that changes and requests routes until `stop`.
pub(super) fn start(cluster: &SoakCluster, seed: u64, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let fronts = cluster.nodes.iter().map(super::NodeProcess::front);
    let mut deciders: Vec<Decider> = fronts.map(|front| Decider { front, version: 0 }).collect();
    let (world, stop) = (Arc::clone(&cluster.world), Arc::clone(stop));
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
    std::thread::spawn(move || {
        let mut routes: Vec<AddedRoute> = Vec::new();
        let mut version = 1;
        let mut next_change = Instant::now();
        while !stop.load(Ordering::SeqCst) {
            if Instant::now() >= next_change {
                version += 1;
                change(&world, version, &mut routes);
                next_change += Duration::from_millis(rng.random_range(200..900));
            }
            let decider = rng.random_range(0..deciders.len());
            if !routes.is_empty() {
                let route = &routes[rng.random_range(0..routes.len())];
                if let Some(breach) = check(&mut deciders[decider], route) {
                    lock(&world).breaches.push(breach);
                }
            }
            std::thread::sleep(Duration::from_millis(30));
        }
    })
}

/// Adds a route, and removes those whose lifetime is over.
fn change(world: &SharedWorld, version: u64, routes: &mut Vec<AddedRoute>) {
    let is_forgotten =
        |route: &AddedRoute| route.removed.is_some_and(|it| it.elapsed() >= REMOVED_TIME);
    routes.retain(|route| !is_forgotten(route));
    let now = Instant::now();
    let is_over = |route: &AddedRoute| now - route.added.acknowledged >= ROUTE_LIFETIME;
    let prefix = format!("/added-{version}/");
    let mut prefixes: Vec<&str> = routes
        .iter()
        .filter(|route| route.removed.is_none() && !is_over(route))
        .map(|route| route.prefix.as_str())
        .collect();
    prefixes.push(&prefix);
    publish(world, version, &prefixes);
    let change = Change { version, acknowledged: Instant::now() };
    for route in routes.iter_mut().filter(|route| route.removed.is_none()) {
        route.removed = is_over(route).then_some(change);
    }
    routes.push(AddedRoute { prefix, added: change, removed: None });
}

/// Requests a route. Returns a description of the answer if it is one that only an old configuration allows, or one
/// that is older than what the process has decided by before.
fn check(decider: &mut Decider, route: &AddedRoute) -> Option<String> {
    let since = route.removed.unwrap_or(route.added).elapsed();
    let status = caller::count_status(decider.front, &route.prefix)?;
    let known = decider.version;
    // The answer is allowed by versions from `first` on and before `end`.
    let (first, end) = match (status, route.removed) {
        (200, None) => (route.added.version, u64::MAX),
        (200, Some(removed)) => (route.added.version, removed.version),
        (404, None) => (0, route.added.version),
        // A process that knew the route knows of its removal.
        (404, Some(removed)) if known >= route.added.version => (removed.version, u64::MAX),
        _ => (0, u64::MAX),
    };
    decider.version = known.max(first);
    let is_old = end < u64::MAX && since > APPLY_TIME;
    (is_old || known >= end).then(|| {
        let change = if route.removed.is_some() { "removed" } else { "added" };
        format!(
            "{} answers {status} for {}, {change} {since:?} earlier, and has decided by version {known}",
            decider.front, route.prefix
        )
    })
}
