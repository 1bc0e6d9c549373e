//! Reads of the store while other calls of the process wait for answers.

use std::time::{Duration, Instant};

use plantainlever::adapter::PlatformAdapter;
use plantainlever::port::{Commit, RowKey, RowStore, StoreError};
use plantainlever_test_support::soak::serve::lock;
use plantainlever_test_support::soak::world::StoreMode;

use super::{Store, block_on};

/// Calls that get no answer, more than the connections for callers' requests.
const UNANSWERED_CALLS: usize = 60;

fn commits(
    platform: &PlatformAdapter,
    count: usize,
) -> impl Future<Output = Vec<Result<plantainlever::port::CommitOutcome, StoreError>>> {
    let commits = (0..count).map(async |number| {
        let key = RowKey::new("t", number.to_string());
        let commit = Commit { writes: vec![(key, Vec::new())], ..Commit::default() };
        platform.commit(&commit).await
    });
    futures::future::join_all(commits)
}

/// Guards against a change of the configuration that is noticed late, because its feed waits for a connection behind the
/// calls for callers.
#[test]
fn the_feed_of_changes_does_not_wait_for_calls_of_callers() {
    let store = Store::start();
    let platform = PlatformAdapter::new(store.address);
    lock(&store.world).store = StoreMode::Lost;
    block_on(async {
        let feed = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let changes = platform.changes("op", 1, Duration::from_millis(100));
            tokio::time::timeout(Duration::from_secs(1), changes).await
        };
        tokio::select! {
            _ = commits(&platform, UNANSWERED_CALLS) => panic!("the commits ended first"),
            changes = feed => assert!(matches!(changes, Ok(Ok(_))), "{changes:?}"),
        }
    });
}

/// Guards against a read that takes several times its time limit, once for each of its steps.
#[test]
fn the_time_limit_of_a_read_includes_the_wait_for_a_connection() {
    let store = Store::start();
    let platform = PlatformAdapter::new(store.address);
    lock(&store.world).store = StoreMode::Silent;
    block_on(async {
        let read = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let began = Instant::now();
            (platform.read("op", "", "", "").await, began.elapsed())
        };
        // As many calls as there are connections, so that the read gets one after 1.0 s.
        let (_, (read, elapsed)) = tokio::join!(commits(&platform, 24), read);
        assert!(read.is_err());
        assert!(elapsed < Duration::from_millis(2_000), "{elapsed:?}");
    });
}
