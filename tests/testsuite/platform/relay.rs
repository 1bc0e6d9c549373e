//! The way to the table through peers.

use plantainlever::peer::{Directory, Member, Relay, RelayReply};
use plantainlever::platform::relay::{RelayedTable, answer};

use super::*;

const OWN_DOMAIN: &str = "127.0.0.1:1";
const OTHER_DOMAIN: &str = "127.0.0.1:2";
const MEMBER: &str = "127.0.0.1:3";
const OWN_PORT: u16 = 9;

/// A relayed table whose direct way is `t`, and whose peers at `reachable` call the table of `theirs`.
fn relayed<C: Clock + 'static>(
    t: &InProcess<C>,
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

/// Guards against a domain that is cut off from the table although its peers reach it, and against paying for the cut
/// way or a dead peer on each call.
#[test]
fn cut_direct_way_is_replaced_by_the_peer_that_works() {
    let t = InProcess::new();
    let theirs: Arc<dyn Table> = Arc::new(t.table.clone());
    let (table, peers) = relayed(&t, &theirs, &[OTHER_DOMAIN]);
    let read = || table.read(&ReadRequest::default()).map(|response| response.revision);
    t.faults.set_down(true);
    assert_eq!(table.commit(&put("op1", "k", vec![absent("k")])), Ok(committed(1)));
    assert_eq!(peers.take_called(), [MEMBER, OTHER_DOMAIN]);
    assert_eq!(read(), Ok(1));
    assert_eq!(peers.take_called(), [OTHER_DOMAIN]);
    // The direct way is tried again after a while, first without success.
    t.clock.advance(Duration::from_secs(5));
    assert_eq!(read(), Ok(1));
    assert_eq!(peers.take_called(), [OTHER_DOMAIN]);
    t.faults.set_down(false);
    // Each failure doubles the time to the next attempt.
    t.clock.advance(Duration::from_secs(9));
    assert_eq!(read(), Ok(1));
    assert_eq!(peers.take_called(), [OTHER_DOMAIN]);
    t.clock.advance(Duration::from_secs(1));
    assert_eq!(read(), Ok(1));
    assert!(peers.take_called().is_empty());
}

/// Guards against a commit that runs twice because its first answer was lost on another way.
#[test]
fn relayed_repeat_keeps_the_operation_id() {
    let t = InProcess::new();
    let theirs: Arc<dyn Table> = Arc::new(t.table.clone());
    let (table, _) = relayed(&t, &theirs, &[MEMBER]);
    t.faults.lose_answers(1);
    assert_eq!(table.commit(&put("op1", "k", vec![absent("k")])), Ok(committed(1)));
    assert_eq!(effects(&t.table), ["op1"]);
}

/// Guards against "no effect" when one way failed cleanly and another one may have had an effect.
#[test]
fn failure_on_all_ways_reports_a_possible_effect() {
    let (t, theirs) = (InProcess::new(), InProcess::new());
    let (table, peers) = relayed(&t, &theirs.faulty, &[MEMBER]);
    let commit = |id| table.commit(&put(id, "k", Vec::new())).unwrap_err();
    t.faults.set_down(true);
    theirs.faults.set_down(true);
    assert!(commit("op1").had_no_effect());
    // The own domain is called last, and this process never.
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

/// Guards against an answering side that hides whether the call had an effect.
#[test]
fn answering_side_passes_results_and_failures() {
    let t = InProcess::new();
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
