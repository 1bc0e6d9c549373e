//! Tests of the relay of table calls through peers.

use plantainlever::peer::{Directory, Member, Relay, RelayReply};
use plantainlever::platform::relay::{RelayedTable, answer};

use super::*;

const OWN_DOMAIN: &str = "127.0.0.1:1";
const OTHER_DOMAIN: &str = "127.0.0.1:2";
const MEMBER: &str = "127.0.0.1:3";
const OWN_PORT: u16 = 9;

/// Creates a relayed table that calls `t` directly and whose peers, reachable at `reachable`, call `theirs`.
fn relayed<C: Clock + 'static>(
    t: &TestTable<C>,
    theirs: &Arc<dyn Table>,
    reachable: &[&'static str],
) -> (RelayedTable, Arc<RelayPeers>) {
    let directory = Directory::default();
    for (process, domain, port) in [("p1", "a", OWN_PORT), ("p2", "b", 3)] {
        directory.insert(Member {
            process: process.to_owned(),
            domain: domain.to_owned(),
            peer_address: format!("127.0.0.1:{port}"),
            address: String::new(),
        });
    }
    let peers = Arc::new(RelayPeers::new(Arc::clone(theirs), reachable));
    let (direct, clock, metrics) = (t.faulty.clone(), t.clock.clone(), Metrics::disabled());
    let (cfg, own) = (settings(), ([127, 0, 0, 1], OWN_PORT).into());
    (RelayedTable::new(direct, peers.clone(), directory, clock, metrics, &cfg, own), peers)
}

/// Guards against a domain that loses the table although its peers reach it, and against calls that each try the broken
/// direct route or an unreachable peer first.
#[test]
fn unreachable_table_is_called_through_the_peer_that_answers() {
    let t = TestTable::new();
    let theirs: Arc<dyn Table> = Arc::new(t.table.clone());
    let (table, peers) = relayed(&t, &theirs, &[OTHER_DOMAIN]);
    let read = || table.read(&ReadRequest::default()).map(|response| response.revision);
    t.faults.set_down(true);
    assert_eq!(table.commit(&put("op1", "k", vec![absent("k")])), Ok(committed(1)));
    assert_eq!(peers.take_called(), [MEMBER, OTHER_DOMAIN]);
    assert_eq!(read(), Ok(1));
    assert_eq!(peers.take_called(), [OTHER_DOMAIN]);
    // After 5 s the table is called directly again, which still fails.
    t.clock.advance(Duration::from_secs(5));
    assert_eq!(read(), Ok(1));
    assert_eq!(peers.take_called(), [OTHER_DOMAIN]);
    t.faults.set_down(false);
    // Each failure doubles the time to the next direct call, here to 10 s.
    t.clock.advance(Duration::from_secs(9));
    assert_eq!(read(), Ok(1));
    assert_eq!(peers.take_called(), [OTHER_DOMAIN]);
    t.clock.advance(Duration::from_secs(1));
    assert_eq!(read(), Ok(1));
    assert!(peers.take_called().is_empty());
}

/// Guards against a commit that takes effect twice because the answer was lost on one route and it was repeated on
/// another.
#[test]
fn relayed_repeat_keeps_the_operation_id() {
    let t = TestTable::new();
    let theirs: Arc<dyn Table> = Arc::new(t.table.clone());
    let (table, _) = relayed(&t, &theirs, &[MEMBER]);
    t.faults.lose_answers(1);
    assert_eq!(table.commit(&put("op1", "k", vec![absent("k")])), Ok(committed(1)));
    assert_eq!(effects(&t.table), ["op1"]);
}

/// Guards against a failure reported as without effect when a call on one of the routes may have had one.
#[test]
fn failure_on_all_routes_reports_a_possible_effect() {
    let (t, theirs) = (TestTable::new(), TestTable::new());
    let (table, peers) = relayed(&t, &theirs.faulty, &[MEMBER]);
    let commit = |id| table.commit(&put(id, "k", Vec::new())).unwrap_err();
    t.faults.set_down(true);
    theirs.faults.set_down(true);
    assert!(commit("op1").had_no_effect());
    // Peers of the same domain are called last, and this process never calls itself.
    assert_eq!(peers.take_called(), [MEMBER, OTHER_DOMAIN, OWN_DOMAIN]);
    theirs.faults.set_down(false);
    theirs.faults.lose_answers(1);
    assert!(!commit("op2").had_no_effect());
    theirs.faults.set_down(true);
    t.faults.set_down(false);
    t.faults.lose_answers(1);
    assert!(!commit("op3").had_no_effect());
    assert_eq!(
        (effects(&theirs.table), effects(&t.table)),
        (vec!["op2".into()], vec!["op3".into()])
    );
}

/// Guards against a relaying peer that does not report whether a failed call may have had an effect.
#[test]
fn relaying_peer_returns_results_and_failures() {
    let t = TestTable::new();
    let commit = Relay::Commit(serde_json::to_string(&put("op1", "k", vec![])).unwrap());
    let body = "{\"result\":\"committed\",\"revision\":1}".to_owned();
    assert_eq!(answer(t.faulty.as_ref(), &commit), RelayReply::Answer(body));
    let failed = |msg: &Relay| match answer(t.faulty.as_ref(), msg) {
        RelayReply::Failed { no_effect, .. } => no_effect,
        reply => panic!("{reply:?}"),
    };
    t.faults.lose_answers(1);
    assert!(!failed(&commit));
    t.faults.set_down(true);
    assert!(failed(&commit));
    assert!(failed(&Relay::Read("{".to_owned())));
}
