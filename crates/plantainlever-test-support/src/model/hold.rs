//! Compares three ways of confirming the hold of a domain while the table or the domain is unreachable.
//!
//! The domain has 200 slots, each with a running exclusive task and an unlimited supply of waiting ones. A task runs
//! for 2 to 18 minutes and writes a checkpoint each minute. While the hold is confirmed, running tasks have leases;
//! when it ends, they are stopped and lose the work since their checkpoints. Starts also need a fresh state of the
//! domain, which only the table can confirm. The model does not cover safety: variant (a) requires that all clocks
//! agree on when a hold has lapsed, and the others require a committed claim.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u64 = 200;
const FAULT_START_S: u64 = 300;
const FAULT_DURATION_S: u64 = 600;
const RUN_S: u64 = 1500;
const CHECKPOINT_EVERY_S: u64 = 60;

/// Age of the last confirmation at which a rescuer may take over.
const HOLD_TIMEOUT_S: u64 = 90;
/// Age of the last confirmation by the table at which any process may take over.
const FORCED_TAKE_OVER_S: u64 = 900;
/// Age of the domain's state from which on no task is started.
const MAX_STATE_AGE_S: u64 = 2;
/// Time that a new holder waits before its first start, so that no command of its predecessor is still on its way.
const START_DELAY_S: u64 = 4;
/// Time after a take-over in which an inherited attempt may still run.
const TASK_LEASE_S: u64 = 15;
/// Time in which a resumed task reads its checkpoint.
const RESTORE_S: u64 = 5;

/// How a hold is confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holding {
    /// (a) The hold lapses a fixed time after the table's last confirmation.
    TimeAlone,
    /// (b) Reads relayed by peers confirm it too, and a new holder must have committed a claim.
    Claims,
    /// (c) Like (b), and promises by the peers listed in the hold not to take over confirm it while the table is
    /// down.
    Promises,
}

/// Fault from minute 5 to minute 15.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The table is unreachable for every process.
    StoreDown,
    /// Like `StoreDown`, and a peer listed in the hold fails halfway through.
    StoreDownPeerLost,
    /// The domain reaches neither the table nor its peers.
    DomainCut,
    /// The domain cannot reach the table, but its peers can, and it reaches them.
    StorePathCut,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Completed work in slot-seconds, minus the work lost when tasks were stopped.
    pub work: u64,
    /// Number of tasks stopped because the hold ended.
    pub stopped: u64,
}

/// Seconds since the last confirmations.
struct ConfirmationAges {
    /// Of the domain's state.
    domain_state: u64,
    /// Of the guarantee that no rescuer may take over the hold.
    rescuers: u64,
    /// Of the guarantee that no other process may take over the hold.
    others: u64,
}

#[derive(Clone, Copy)]
struct Slot {
    remaining_s: u64,
    unsaved_s: u64,
    /// Remaining time of the restore, in which the task makes no progress.
    restore_s: u64,
    is_running: bool,
}

/// Simulates 25 minutes. Runs with equal seeds draw their tasks from the same random numbers.
#[must_use]
pub fn run(holding: Holding, fault: Fault, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut slots: Vec<Slot> = (0..SLOTS).map(|_| new_task(&mut rng)).collect();
    let mut figures = Figures::default();
    let mut was_held = true;
    let mut starts_from_s = 0;
    for second in 0..RUN_S {
        let confirmed = confirmations(holding, fault, second);
        let is_held = confirmed.rescuers < HOLD_TIMEOUT_S && confirmed.others < FORCED_TAKE_OVER_S;
        if was_held && !is_held {
            stop_all(&mut slots, &mut figures);
        }
        if is_held && !was_held {
            starts_from_s = second + restart_delay_s(holding, fault);
        }
        was_held = is_held;
        let may_start =
            is_held && confirmed.domain_state < MAX_STATE_AGE_S && second >= starts_from_s;
        for slot in &mut slots {
            advance_slot(slot, may_start, &mut rng, &mut figures);
        }
    }
    figures
}

fn confirmations(holding: Holding, fault: Fault, second: u64) -> ConfirmationAges {
    let is_fault = (FAULT_START_S..FAULT_START_S + FAULT_DURATION_S).contains(&second);
    if !is_fault || fault == Fault::None {
        return ConfirmationAges { domain_state: 0, rescuers: 0, others: 0 };
    }
    let fault_age_s = second - FAULT_START_S;
    let relayed = fault == Fault::StorePathCut && holding != Holding::TimeAlone;
    let store = if relayed { 0 } else { fault_age_s };
    let promised = match (holding, fault) {
        (Holding::Promises, Fault::StoreDown) => 0,
        (Holding::Promises, Fault::StoreDownPeerLost) => {
            fault_age_s.saturating_sub(FAULT_DURATION_S / 2)
        }
        _ => store,
    };
    let others = if holding == Holding::TimeAlone { 0 } else { store };
    ConfirmationAges { domain_state: store, rescuers: promised, others }
}

/// Seconds from the end of the fault to the first start. A process that takes the hold, even its former holder, begins
/// a new epoch and waits until the commands and leases of the previous epoch have lapsed. A holder that was not
/// replaced continues in its epoch.
fn restart_delay_s(holding: Holding, fault: Fault) -> u64 {
    let is_taken_over = fault == Fault::DomainCut;
    if holding == Holding::TimeAlone || is_taken_over { START_DELAY_S + TASK_LEASE_S } else { 1 }
}

fn new_task(rng: &mut StdRng) -> Slot {
    let remaining_s = rng.random_range(120..1080);
    Slot { remaining_s, unsaved_s: 0, restore_s: 0, is_running: true }
}

fn stop_all(slots: &mut [Slot], figures: &mut Figures) {
    for slot in slots.iter_mut().filter(|slot| slot.is_running) {
        figures.stopped += 1;
        figures.work -= slot.unsaved_s;
        slot.remaining_s += slot.unsaved_s;
        *slot = Slot { unsaved_s: 0, restore_s: RESTORE_S, is_running: false, ..*slot };
    }
}

fn advance_slot(slot: &mut Slot, may_start: bool, rng: &mut StdRng, figures: &mut Figures) {
    if !slot.is_running {
        if !may_start {
            return;
        }
        if slot.remaining_s == 0 {
            *slot = new_task(rng);
        }
        slot.is_running = true;
    }
    if slot.restore_s > 0 {
        slot.restore_s -= 1;
        return;
    }
    figures.work += 1;
    slot.remaining_s -= 1;
    slot.unsaved_s += 1;
    if slot.unsaved_s == CHECKPOINT_EVERY_S {
        slot.unsaved_s = 0;
    }
    if slot.remaining_s == 0 {
        slot.is_running = false;
        slot.unsaved_s = 0;
    }
}
