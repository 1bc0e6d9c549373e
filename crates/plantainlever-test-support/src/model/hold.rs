//! Three ways of holding a domain's tasks while the store or the domain cannot be reached.
//!
//! The domain has 200 slots, each with an exclusive task and more waiting. A task runs 2 to 18 minutes and writes a
//! checkpoint each minute. While the hold is confirmed, running tasks have leases; when it ends, they stop and lose the
//! work since their checkpoints. Starts also need the domain's state, which only the store can confirm. What the model
//! leaves out is safety: way (a) needs every clock to agree on when a hold has lapsed, the others need a committed claim.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u64 = 200;
const FAULT_S: u64 = 300;
const FAULT_LENGTH_S: u64 = 600;
const RUN_S: u64 = 1500;
const CHECKPOINT_EVERY_S: u64 = 60;

/// Age of the last confirmation at which a rescuer may take over.
const HOLD_TIME_S: u64 = 90;
/// Age of the last confirmation by the store at which anybody may take over.
const FORCE_TIME_S: u64 = 900;
/// Age of the domain's state at which starts end.
const FRESHNESS_S: u64 = 2;
/// Time that a new scheduler waits before it starts anything.
const START_WINDOW_S: u64 = 4;
/// Time after a take-over in which an inherited attempt may still run.
const TASK_LEASE_S: u64 = 15;
/// Time that a resumed task needs to read its checkpoint.
const RESTORE_S: u64 = 5;

/// How a hold is confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holding {
    /// (a) It lapses a fixed time after the store's last confirmation.
    TimeAlone,
    /// (b) Relayed reads confirm it too, and a taker must have committed a claim.
    Claims,
    /// (c) As (b), and promises of named peers confirm it while the store is down.
    Promises,
}

/// What fails from minute 5 to minute 15.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The store answers nobody.
    StoreDown,
    /// As `StoreDown`, and a named peer dies after half of the time.
    StoreDownPeerLost,
    /// The domain reaches neither the store nor its peers.
    DomainCut,
    /// The domain reaches its peers, which reach the store, but not the store.
    StorePathCut,
}

/// Work completed in the domain, in slot-seconds, and tasks stopped because the hold ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Work completed, less what was lost.
    pub work: u64,
    /// Tasks stopped because the hold ended.
    pub stopped: u64,
}

/// Ages of the confirmations in seconds.
struct Confirmed {
    /// Of the domain's state.
    state: u64,
    /// Against rescuers.
    rescuers: u64,
    /// Against anybody else.
    others: u64,
}

#[derive(Clone, Copy)]
struct Slot {
    left_s: u64,
    unsaved_s: u64,
    /// Time until the task makes progress again.
    restore_s: u64,
    is_running: bool,
}

/// Runs 25 minutes. Equal seeds give equal tasks.
#[must_use]
pub fn run(holding: Holding, fault: Fault, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut slots: Vec<Slot> = (0..SLOTS).map(|_| new_task(&mut rng)).collect();
    let mut figures = Figures::default();
    let mut was_held = true;
    let mut starts_from_s = 0;
    for second in 0..RUN_S {
        let confirmed = confirmations(holding, fault, second);
        let is_held = confirmed.rescuers < HOLD_TIME_S && confirmed.others < FORCE_TIME_S;
        if was_held && !is_held {
            stop_all(&mut slots, &mut figures);
        }
        if is_held && !was_held {
            starts_from_s = second + delay_of_return(holding, fault);
        }
        was_held = is_held;
        let may_start = is_held && confirmed.state < FRESHNESS_S && second >= starts_from_s;
        for slot in &mut slots {
            step(slot, may_start, &mut rng, &mut figures);
        }
    }
    figures
}

fn confirmations(holding: Holding, fault: Fault, second: u64) -> Confirmed {
    let is_fault = (FAULT_S..FAULT_S + FAULT_LENGTH_S).contains(&second);
    if !is_fault || fault == Fault::None {
        return Confirmed { state: 0, rescuers: 0, others: 0 };
    }
    let since = second - FAULT_S;
    let relayed = fault == Fault::StorePathCut && holding != Holding::TimeAlone;
    let store = if relayed { 0 } else { since };
    let promised = match (holding, fault) {
        (Holding::Promises, Fault::StoreDown) => 0,
        (Holding::Promises, Fault::StoreDownPeerLost) => since.saturating_sub(FAULT_LENGTH_S / 2),
        _ => store,
    };
    let others = if holding == Holding::TimeAlone { 0 } else { store };
    Confirmed { state: store, rescuers: promised, others }
}

/// Time from the end of the fault to the first start. Whoever took over, or takes the lapsed hold again, has a new epoch
/// and waits for what the predecessor may have sent. A holder that nobody claimed from goes on with its epoch.
fn delay_of_return(holding: Holding, fault: Fault) -> u64 {
    let is_taken_over = fault == Fault::DomainCut;
    if holding == Holding::TimeAlone || is_taken_over { START_WINDOW_S + TASK_LEASE_S } else { 1 }
}

fn new_task(rng: &mut StdRng) -> Slot {
    let left_s = rng.random_range(120..1080);
    Slot { left_s, unsaved_s: 0, restore_s: 0, is_running: true }
}

fn stop_all(slots: &mut [Slot], figures: &mut Figures) {
    for slot in slots.iter_mut().filter(|slot| slot.is_running) {
        figures.stopped += 1;
        figures.work -= slot.unsaved_s;
        slot.left_s += slot.unsaved_s;
        *slot = Slot { unsaved_s: 0, restore_s: RESTORE_S, is_running: false, ..*slot };
    }
}

fn step(slot: &mut Slot, may_start: bool, rng: &mut StdRng, figures: &mut Figures) {
    if !slot.is_running {
        if !may_start {
            return;
        }
        if slot.left_s == 0 {
            *slot = new_task(rng);
        }
        slot.is_running = true;
    }
    if slot.restore_s > 0 {
        slot.restore_s -= 1;
        return;
    }
    figures.work += 1;
    slot.left_s -= 1;
    slot.unsaved_s += 1;
    if slot.unsaved_s == CHECKPOINT_EVERY_S {
        slot.unsaved_s = 0;
    }
    if slot.left_s == 0 {
        slot.is_running = false;
        slot.unsaved_s = 0;
    }
}
