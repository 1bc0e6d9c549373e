//! Heartbeats between processes, over the real peer interface.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use plantainlever::clock::{Clock, SystemClock};
use plantainlever::ops::Context;
use plantainlever::ops::membership::{HeartbeatThread, Heartbeats};
use plantainlever::peer::message::{
    ForwardedAnswer, ForwardedRequest, HandOver, HandOverReply, Heartbeat, HeartbeatReply,
    HoldAnswer, HoldQuery, RecordKey, RecordKeyReply, Relay, RelayReply,
};
use plantainlever::peer::{Member, PeerHandler, PeerNode, Peers};
use plantainlever::platform::table::{Table, Transaction, Write};

use super::rig::{Site, any_port, wait_for};

#[derive(Default)]
struct Handler(OnceLock<Arc<Heartbeats>>);

impl PeerHandler for Handler {
    fn heartbeat(&self, msg: &Heartbeat) -> HeartbeatReply {
        self.0.wait().on_heartbeat(msg)
    }
    fn query_hold(&self, _: &HoldQuery) -> HoldAnswer {
        unreachable!()
    }
    fn hand_over(&self, _: &HandOver) -> HandOverReply {
        unreachable!()
    }
    fn record_key(&self, _: &RecordKey) -> RecordKeyReply {
        unreachable!()
    }
    fn relay(&self, _: &Relay) -> RelayReply {
        unreachable!()
    }
    fn forward(&self, _: &ForwardedRequest) -> ForwardedAnswer {
        unreachable!()
    }
}

/// Runs 8 times as fast as the system's clock.
#[derive(Debug)]
struct FastClock(Instant);

impl Clock for FastClock {
    fn now(&self) -> Instant {
        self.0 + self.0.elapsed() * 8
    }
    fn boot(&self) -> Duration {
        SystemClock.boot()
    }
    fn unix_ms(&self) -> u64 {
        SystemClock.unix_ms()
    }
    fn sleep(&self, duration: Duration) {
        SystemClock.sleep(duration / 8);
    }
}

struct Process {
    cx: Context,
    node: Arc<PeerNode>,
    heartbeats: Arc<Heartbeats>,
    thread: HeartbeatThread,
}

impl Process {
    fn start(site: &Site, name: &str, clock: Arc<dyn Clock>) -> Self {
        let handler = Arc::new(Handler::default());
        let node = Arc::new(PeerNode::start(any_port(), Arc::clone(&handler) as _).unwrap());
        let mut cx = site.context(name, "a");
        cx.clock = clock;
        cx.peers = Arc::clone(&node) as Arc<dyn Peers>;
        let heartbeats = Heartbeats::new(cx.clone());
        handler.0.set(Arc::clone(&heartbeats)).ok();
        let member = Member {
            process: name.to_owned(),
            domain: "a".to_owned(),
            peer_address: node.address().to_string(),
            address: String::new(),
        };
        site.directory.insert(member);
        let thread = heartbeats.start().unwrap();
        Self { cx, node, heartbeats, thread }
    }

    fn slots(&self) -> u32 {
        let share = self.heartbeats.current_share().get(self.cx.clock.now());
        share.map_or(0, |share| share.slots(8, "t1"))
    }

    /// Stops without notice to the others.
    fn die(self) {
        self.node.close();
        self.cx.stop.stop();
        self.thread.close();
    }
}

fn write_rows(site: &Site, names: &[&str]) {
    for name in names {
        let key = plantainlever::peer::directory::row_key("a", name);
        let write = Write::Put { key, value: serde_json::Value::Null };
        let (operation, conditions) = ((*name).to_owned(), Vec::new());
        site.table.commit(&Transaction { operation, conditions, writes: vec![write] }).unwrap();
    }
}

/// Guards against processes that do not find each other over the wire, use more slots than the limit, or do not take
/// over the slots of a process that died.
#[test]
fn processes_share_the_slots_and_take_over_those_of_a_dead_one() {
    let site = Site::default();
    let mut processes: Vec<Process> =
        ["p1", "p2", "p3"].map(|name| Process::start(&site, name, Arc::new(SystemClock))).into();
    let is_divided = |processes: &[Process]| {
        let total: u32 = processes.iter().map(Process::slots).sum();
        assert!(total <= 8, "{total} slots");
        let others = processes.len() - 1;
        total == 8
            && processes
                .iter()
                .all(|process| process.heartbeats.member_free_slots().len() == others)
    };
    wait_for("a division among three", || is_divided(&processes));
    processes.pop().unwrap().die();
    let died = Instant::now();
    wait_for("the division among the other two", || is_divided(&processes));
    assert!(died.elapsed() <= Duration::from_secs(5), "{:?}", died.elapsed());
    processes.into_iter().for_each(Process::die);
}

/// Guards against member rows of dead processes that are never deleted, and against the deletion of a live one's row.
#[test]
fn the_row_of_a_lost_process_is_deleted() {
    let site = Site::default();
    write_rows(&site, &["p1", "p2"]);
    let start = |name| Process::start(&site, name, Arc::new(FastClock(Instant::now())));
    let (first, second) = (start("p1"), start("p2"));
    wait_for("the other member", || first.heartbeats.member_free_slots().len() == 1);
    second.die();
    wait_for("the deletion of the row", || site.table.keys() == ["member/a/p1"]);
    first.die();
}
