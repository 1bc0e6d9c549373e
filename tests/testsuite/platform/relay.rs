//! The way to the table through peers.

use std::sync::Arc;
use std::time::Duration;

use plantainlever::peer::{Directory, Member, Relay, RelayReply};
use plantainlever::platform::PlatformError;
use plantainlever::platform::relay::{OwnAddress, RelayedTable, answer};
use plantainlever::platform::table::{ReadRequest, Table};
use plantainlever::telemetry::Metrics;

use super::{InProcess, RelayPeers, absent, committed, effects, put, settings};

const OWN_DOMAIN: &str = "127.0.0.1:1";
const OTHER_DOMAIN: &str = "127.0.0.1:2";
const MEMBER: &str = "127.0.0.1:3";

/// A relayed table whose direct way is `t`, and peers that reach the same rows without its faults.
fn relayed(t: &InProcess, peers: &Arc<RelayPeers>) -> RelayedTable {
    let directory = Directory::default();
    let member = |process: &str, domain: &str, peer_address: &str| Member {
        process: process.to_owned(),
        domain: domain.to_owned(),
        peer_address: peer_address.to_owned(),
        address: String::new(),
    };
    directory.insert(member("p1", "a", "127.0.0.1:9"));
    directory.insert(member("p2", "b", MEMBER));
    let own = OwnAddress { process: "p1".to_owned(), peer_address: "127.0.0.1:9".to_owned() };
    let (direct, clock) = (Arc::clone(&t.faulty), t.clock.clone());
    RelayedTable::new(
        direct,
        peers.clone(),
        directory,
        clock,
        Metrics::disabled(),
        &settings(),
        own,
    )
}

fn read(table: &RelayedTable) -> Result<u64, PlatformError> {
    table.read(&ReadRequest::default()).map(|response| response.revision)
}

/// Guards against a domain that is cut off from the table although its peers reach it, and against paying for the cut
/// way or a dead peer on each call.
#[test]
fn cut_direct_way_is_replaced_by_the_peer_that_works() {
    let t = InProcess::new();
    let peers = RelayPeers::new(Arc::new(t.table.clone()), &[OTHER_DOMAIN]);
    let table = relayed(&t, &peers);
    t.faults.set_down(true);
    assert_eq!(table.commit(&put("op1", "k", vec![absent("k")])), Ok(committed(1)));
    assert_eq!(peers.calls(), [MEMBER, OTHER_DOMAIN]);
    assert_eq!(read(&table), Ok(1));
    assert_eq!(peers.calls(), [OTHER_DOMAIN]);
    // The direct way is tried again after a while, first without success.
    t.clock.advance(Duration::from_secs(5));
    assert_eq!(read(&table), Ok(1));
    assert_eq!(peers.calls(), [OTHER_DOMAIN]);
    t.faults.set_down(false);
    t.clock.advance(Duration::from_secs(5));
    assert_eq!(read(&table), Ok(1));
    assert_eq!(peers.calls(), Vec::<String>::new());
}

/// Guards against a commit that runs twice because its first answer was lost on another way.
#[test]
fn relayed_repeat_keeps_the_operation_id() {
    let t = InProcess::new();
    let peers = RelayPeers::new(Arc::new(t.table.clone()), &[MEMBER]);
    let table = relayed(&t, &peers);
    t.faults.lose_answers(1);
    assert_eq!(table.commit(&put("op1", "k", vec![absent("k")])), Ok(committed(1)));
    assert_eq!(effects(t.table.history()), ["op1"]);
}

/// Guards against "no effect" when one way failed cleanly and another one may have had an effect.
#[test]
fn failure_on_all_ways_reports_a_possible_effect() {
    let t = InProcess::new();
    let peers = RelayPeers::new(Arc::new(t.table.clone()), &[]);
    let table = relayed(&t, &peers);
    let txn = put("op1", "k", Vec::new());
    t.faults.set_down(true);
    assert!(table.commit(&txn).unwrap_err().had_no_effect());
    // At most two peers are called, others on the next attempt, and the own domain last.
    assert_eq!(peers.calls(), [MEMBER, OTHER_DOMAIN]);
    t.faults.set_down(false);
    t.faults.lose_answers(1);
    assert!(!table.commit(&txn).unwrap_err().had_no_effect());
    assert_eq!(effects(t.table.history()), ["op1"]);
    assert!(!peers.calls().contains(&OWN_DOMAIN.to_owned()));
}

/// Guards against an answering side that hides whether the call had an effect, or relays further.
#[test]
fn answering_side_passes_results_and_failures() {
    let t = InProcess::new();
    let commit = Relay::Commit(serde_json::to_string(&put("op1", "k", vec![])).unwrap());
    let reply = answer(t.faulty.as_ref(), &commit);
    let body = "{\"result\":\"committed\",\"revision\":1}".to_owned();
    assert_eq!(reply, RelayReply::Answer(body));
    t.faults.lose_answers(1);
    let lost = answer(t.faulty.as_ref(), &commit);
    assert!(matches!(lost, RelayReply::Failed { no_effect: false, .. }), "{lost:?}");
    t.faults.set_down(true);
    let down = answer(t.faulty.as_ref(), &commit);
    assert!(matches!(down, RelayReply::Failed { no_effect: true, .. }), "{down:?}");
    let malformed = answer(t.faulty.as_ref(), &Relay::Read("{".to_owned()));
    assert!(matches!(malformed, RelayReply::Failed { no_effect: true, .. }), "{malformed:?}");
}
