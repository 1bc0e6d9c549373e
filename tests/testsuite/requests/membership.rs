//! The slots that all processes use together never exceed the limits.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use plantainlever::peer::membership::{Membership, Timeouts};

const TIMEOUTS: Timeouts = Timeouts {
    share_lease: Duration::from_millis(2_000),
    member_timeout: Duration::from_millis(2_500),
    pause_limit: Duration::from_millis(1_000),
};

/// Simulated time per step. Each process ticks once per step.
const STEP: Duration = Duration::from_millis(50);

/// Steps between heartbeats.
const HEARTBEAT_STEPS: u64 = 10;

struct Process {
    rules: Membership,
    /// Remaining steps for which the process is paused.
    paused: u64,
    /// Remaining steps for which only its peer interface hangs.
    hangs: u64,
    /// Step in which it sent its last heartbeats.
    sent: Option<u64>,
}

/// A message in transit.
enum Message {
    Heartbeat { from: String, to: String, sent_at: Instant },
    Acknowledged { from: String, to: String, sent_at: Instant },
}

struct World {
    origin: Instant,
    step: u64,
    alive: BTreeMap<String, Process>,
    /// Names of all processes so far, alive or not, as a table that deletes no member row lists them.
    rows: BTreeSet<String>,
    /// Messages with the step from which on they can be delivered.
    in_transit: Vec<(u64, Message)>,
    next_name: u64,
}

impl World {
    fn new(processes: u64) -> Self {
        let origin = Instant::now();
        let mut world = Self {
            origin,
            step: 0,
            alive: BTreeMap::new(),
            rows: BTreeSet::new(),
            in_transit: Vec::new(),
            next_name: 0,
        };
        for _ in 0..processes {
            world.join();
        }
        world
    }

    fn now(&self) -> Instant {
        self.origin + STEP * u32::try_from(self.step).unwrap()
    }

    fn join(&mut self) {
        // The order of the names differs from the order of the starts.
        let name = format!("p{}-{}", self.next_name * 7 % 10, self.next_name);
        self.next_name += 1;
        self.rows.insert(name.clone());
        let mut rules = Membership::new(&name, TIMEOUTS, self.now());
        rules.set_known(&self.rows, self.now());
        self.alive.insert(name, Process { rules, paused: 0, hangs: 0, sent: None });
    }

    /// Runs one step. Messages take `delay` steps.
    fn run(&mut self, delay: u64) {
        self.step += 1;
        let now = self.now();
        let in_transit = std::mem::take(&mut self.in_transit);
        for (due, message) in in_transit {
            self.deliver(due, message, now, delay);
        }
        let mut sent = Vec::new();
        for (name, process) in &mut self.alive {
            if process.paused > 0 {
                process.paused -= 1;
                continue;
            }
            process.rules.set_known(&self.rows, now);
            process.rules.tick(now);
            if process.hangs > 0 {
                process.hangs -= 1;
                continue;
            }
            if process.sent.is_none_or(|sent| self.step - sent >= HEARTBEAT_STEPS) {
                process.sent = Some(self.step);
                process.rules.on_self_acknowledged(now);
                for to in self.rows.iter().filter(|to| *to != name) {
                    sent.push((name.clone(), to.clone()));
                }
            }
        }
        for (from, to) in sent {
            if self.alive.contains_key(&to) {
                let message = Message::Heartbeat { from, to, sent_at: now };
                self.in_transit.push((self.step + delay, message));
            } else if let Some(process) = self.alive.get_mut(&from) {
                process.rules.on_refused(&to, now);
            }
        }
    }

    fn deliver(&mut self, due: u64, message: Message, now: Instant, delay: u64) {
        let (Message::Heartbeat { to, .. } | Message::Acknowledged { to, .. }) = &message;
        let Some(process) = self.alive.get_mut(to) else { return };
        if due > self.step || process.paused > 0 || process.hangs > 0 {
            self.in_transit.push((due, message));
            return;
        }
        match message {
            Message::Heartbeat { from, to, sent_at } => {
                process.rules.on_heartbeat(&from, now);
                let reply = Message::Acknowledged { from: to, to: from, sent_at };
                self.in_transit.push((self.step + delay, reply));
            }
            Message::Acknowledged { from, sent_at, .. } => {
                process.rules.on_acknowledged(&from, sent_at, now);
            }
        }
    }

    /// Slots and connections that all processes together may use at an executor. A paused process counts as using none,
    /// because it sends nothing. Its use between the end of a pause and its next tick is checked by a call before that
    /// tick.
    fn in_use(&self, executor: &str) -> (u32, u32) {
        let now = self.now();
        let running = self.alive.values().filter(|process| process.paused == 0);
        let shares = running.filter_map(|process| process.rules.share(now));
        shares.fold((0, 0), |(slots, connections), share| {
            (slots + share.slots(8, executor), connections + share.connections(64, 8, executor))
        })
    }

    fn check(&self) {
        for executor in ["t1", "t2", "t3"] {
            let (slots, connections) = self.in_use(executor);
            assert!(slots <= 8 && connections <= 64, "{slots} slots, {connections} connections");
        }
    }
}

/// Guards against a slot that two processes use at once after a process paused, died or started, or its peer interface
/// hung.
#[test]
fn slots_in_use_never_exceed_the_limits() {
    arbtest::arbtest(|u| {
        let mut world = World::new(u.int_in_range(1..=4)?);
        for _ in 0..400 {
            let names: Vec<String> = world.alive.keys().cloned().collect();
            match u.int_in_range(0..=60)? {
                0 if names.len() < 6 => world.join(),
                1 if !names.is_empty() => {
                    world.alive.remove(u.choose(&names)?);
                }
                2..=4 if !names.is_empty() => {
                    let steps = u.int_in_range(1..=120)?;
                    if let Some(process) = world.alive.get_mut(u.choose(&names)?) {
                        process.paused = process.paused.max(steps);
                    }
                }
                5 if !names.is_empty() => {
                    let steps = u.int_in_range(1..=120)?;
                    if let Some(process) = world.alive.get_mut(u.choose(&names)?) {
                        process.hangs = process.hangs.max(steps);
                    }
                }
                _ => {}
            }
            // Checks a process that resumes before it has ticked.
            world.check();
            world.run(u.int_in_range(0..=3)?);
            world.check();
        }
        Ok(())
    })
    .size_min(4_096)
    .size_max(16_384)
    .budget_ms(4_000);
}

/// Guards against shares that leave slots unused while the members stay the same.
#[test]
fn shares_of_stable_members_add_up_to_the_limits() {
    for processes in 1..=9 {
        let mut world = World::new(processes);
        (0..100).for_each(|_| world.run(1));
        for executor in ["t1", "t2", "t3", "t4"] {
            assert_eq!(world.in_use(executor), (8, 64));
        }
    }
}

/// Guards against slots of a dead or frozen process that stay unused for more than 5 s.
#[test]
fn slots_of_a_lost_process_are_reused_within_5_s() {
    for frozen in [false, true] {
        let mut world = World::new(3);
        (0..100).for_each(|_| world.run(1));
        let victim = world.alive.keys().nth(1).unwrap().clone();
        if frozen {
            world.alive.get_mut(&victim).unwrap().paused = 10_000;
        } else {
            world.alive.remove(&victim);
        }
        let lost_at = world.now();
        while world.in_use("t1").0 < 8 {
            world.run(1);
            assert!(world.now() - lost_at <= Duration::from_secs(5), "frozen: {frozen}");
        }
    }
}

/// Guards against a process that counts the time for which its own peer interface hangs as silence of its peers. It
/// then drops a peer that was only paused, and takes that peer's slots while the peer still uses them.
#[test]
fn a_hanging_peer_interface_drops_no_member() {
    let mut world = World::new(4);
    (0..100).for_each(|_| world.run(1));
    let names: Vec<String> = world.alive.keys().cloned().collect();
    world.alive.get_mut(&names[0]).unwrap().paused = 19;
    (0..19).for_each(|_| world.run(1));
    world.alive.get_mut(&names[1]).unwrap().hangs = 60;
    for _ in 0..100 {
        world.run(1);
        world.check();
    }
}
