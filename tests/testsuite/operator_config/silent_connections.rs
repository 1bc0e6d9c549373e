//! Open connections to the store that go silent, while new ones work.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use plantainlever::adapter::PlatformAdapter;
use plantainlever::port::{RowStore, StoreError};
use plantainlever_test_support::link::Link;
use plantainlever_test_support::soak::{NodeProcess, VmLimits};
use plantainlever_test_support::wait::{BOUND, until};

use super::{APPLY_TIME, HOST, STABLE_WINDOW, Store, block_on};

/// Requests sent at once, so that the process opens as many connections to the store.
const PARALLEL_REQUESTS: usize = 12;

/// Asks for the number of waiting jobs of a route's queue, and returns the status.
fn count_status(front: SocketAddr, prefix: &str) -> Option<u16> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(BOUND))
        .http_status_as_error(false)
        .proxy(None)
        .build();
    let agent: ureq::Agent = config.into();
    let answer = agent.get(format!("http://{front}{prefix}")).header("host", HOST).call();
    answer.ok().map(|answer| answer.status().as_u16())
}

/// Sends requests at once over a slow link, so that the process keeps several idle connections to the store.
fn open_idle_connections(link: &Link, front: SocketAddr, prefix: &str) {
    link.delay(Duration::from_millis(150));
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_REQUESTS {
            scope.spawn(|| count_status(front, prefix));
        }
    });
    link.heal();
}

/// Guards against a route that is refused as unknown long after it was added, since reads of the configuration use one
/// silent connection after the other.
#[test]
fn a_new_route_is_served_in_time_after_all_open_connections_went_silent() {
    let store = Store::start();
    let link = Link::to(store.address).unwrap();
    let mut prefixes = vec!["/first/".to_owned()];
    store.publish(1, &prefixes);
    let binary = Path::new(env!("CARGO_BIN_EXE_plantainlever"));
    let node = NodeProcess::start(binary, 0, link.address(), VmLimits::default()).unwrap();
    until("the first route", BOUND, || match count_status(node.front(), "/first/") {
        Some(200) => Ok(()),
        status => Err(format!("{status:?}")),
    });
    open_idle_connections(&link, node.front(), "/first/");
    link.silence_open_connections();
    let silent_at = Instant::now();
    // Changes from here on must be in force after the same time as in calm.
    std::thread::sleep(STABLE_WINDOW - APPLY_TIME);
    for version in 2..=5 {
        prefixes.push(format!("/route-{version}/"));
        store.publish(version, &prefixes);
        std::thread::sleep(APPLY_TIME);
        let route = prefixes.last().unwrap();
        // A refusal with 503 says that the process can't decide; it is no decision by an old configuration.
        let status = until("a decision", BOUND, || match count_status(node.front(), route) {
            Some(503) => Err("503"),
            status => Ok(status),
        });
        let log = node.last_log_lines().join("\n");
        assert_eq!(
            status,
            Some(200),
            "{route} {:?} after the silence:\n{log}",
            silent_at.elapsed()
        );
    }
}

/// Guards against calls that fail one after the other, each on a connection that went silent with all others.
#[test]
fn after_one_call_without_an_answer_the_next_one_uses_a_new_connection() {
    let store = Store::start();
    let link = Link::to(store.address).unwrap();
    let platform = PlatformAdapter::new(link.address());
    let read = || platform.read("op", "", "", "");
    block_on(async {
        link.delay(Duration::from_millis(150));
        let reads = futures::future::join_all((0..PARALLEL_REQUESTS).map(|_| read())).await;
        assert!(reads.iter().all(Result::is_ok), "{reads:?}");
        link.heal();
        link.silence_open_connections();
        assert!(matches!(read().await, Err(StoreError::NoAnswer { .. })));
        assert_eq!(read().await.map(|list| list.rows), Ok(Vec::new()));
    });
}
