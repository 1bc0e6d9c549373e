//! Random walks over a model of one hold: a store that is up, down or loses answers, requests that arrive late or after
//! their sender gave up, paused and replaced processes, and hand-over messages that arrive at any time.
//!
//! Each walk is decided by its seed, which a failure names.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use plantainlever::domain::hold::Delays;
use plantainlever::domain::hold::candidate::{Candidate, CandidateAction};
use plantainlever::domain::hold::holding::{Confirmations, Holding, Inherited, RowVerdict};
use plantainlever::domain::{ClaimantClass, HoldRow};

const TICK: Duration = Duration::from_millis(100);
const TASK_LEASE: Duration = Duration::from_millis(1_500);
const DELAYS: Delays = Delays {
    successor: Duration::from_millis(900),
    rescuer: Duration::from_millis(2_500),
    unlisted: Duration::from_millis(5_000),
};

/// A rule that a walk breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Broken {
    Nothing,
    /// A confirmation counts from the receipt of the answer instead of before the send.
    ConfirmedAtReceipt,
    /// A claim's delay counts from before the send instead of from the receipt of the answer.
    ClaimCountedFromSend,
    /// A process with a claim of unknown outcome promises.
    PromisesWithUnknownClaim,
    /// One promise is enough for a class.
    OnePromiseIsEnough,
    /// The successor trusts the age of the confirmation in the hand-over message.
    TrustsHandOverAge,
    /// The hand-over message does not name a write whose outcome is unknown.
    HandOverForgetsWrite,
    /// The holder's leases for exclusive tasks ignore the rescuers.
    LeaseIgnoresRescuers,
}

#[derive(Clone, Debug)]
enum Role {
    Candidate(Box<Candidate>),
    Holder(Box<Holding>),
}

#[derive(Clone, Debug)]
enum Purpose {
    Own,
    Claim,
    Take,
}

#[derive(Clone, Debug)]
enum Request {
    Read,
    Write { purpose: Purpose, row: HoldRow, at: u64 },
    LookUp { operation: u64, purpose: Purpose, row: HoldRow, write_sent: Instant },
    Ask { class: ClaimantClass, epoch: u64, left: Vec<String>, promised: BTreeSet<String> },
}

#[derive(Clone, Debug)]
enum Answer {
    Row(HoldRow, u64),
    Decided(Option<u64>),
    Promises,
}

#[derive(Clone, Debug)]
struct Op {
    id: u64,
    sent: Instant,
    request: Request,
    answer: Option<Answer>,
}

#[derive(Clone, Debug)]
struct Process {
    name: String,
    role: Role,
    op: Option<Op>,
    unsettled: Option<(u64, Purpose, HoldRow, Instant)>,
    paused_until: Instant,
    reaches_store: bool,
}

struct HandOver {
    to: String,
    inherited: Inherited,
    age: Duration,
}

pub struct Model {
    random: u64,
    broken: Broken,
    now: Instant,
    row: HoldRow,
    revision: u64,
    decided: BTreeMap<u64, Option<u64>>,
    forbidden: BTreeSet<u64>,
    zombies: Vec<Op>,
    processes: Vec<Process>,
    messages: Vec<HandOver>,
    next_id: u64,
    lease_end: Instant,
    pub take_overs: BTreeMap<ClaimantClass, u64>,
    pub outage_confirmations: u64,
    pub hand_overs: u64,
}

impl Model {
    pub fn new(seed: u64, broken: Broken) -> Self {
        let now = Instant::now() + Duration::from_secs(60);
        let names = |list: &[&str]| list.iter().map(|name| (*name).to_owned()).collect();
        let row = HoldRow {
            holder: "h".to_owned(),
            epoch: 1,
            successors: names(&["s1", "s2"]),
            rescuers: names(&["r"]),
            claim: None,
        };
        let holding = Holding::taken("h", DELAYS, row.clone(), 1, now);
        let mut model = Self {
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            broken,
            now,
            row,
            revision: 1,
            decided: BTreeMap::new(),
            forbidden: BTreeSet::new(),
            zombies: Vec::new(),
            processes: Vec::new(),
            messages: Vec::new(),
            next_id: 1,
            lease_end: now,
            take_overs: BTreeMap::new(),
            outage_confirmations: 0,
            hand_overs: 0,
        };
        model.add("h", Role::Holder(Box::new(holding)));
        for name in ["s1", "s2", "r", "u"] {
            model.add(name, Role::Candidate(Box::new(Candidate::new(name, DELAYS))));
        }
        model
    }

    fn add(&mut self, name: &str, role: Role) {
        let paused_until = self.now;
        let name = name.to_owned();
        self.processes.push(Process {
            name,
            role,
            op: None,
            unsettled: None,
            paused_until,
            reaches_store: true,
        });
    }

    fn pick(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % below
    }

    /// Makes one step; `Err` describes a broken promise.
    pub fn step(&mut self) -> Result<(), String> {
        let index = usize::try_from(self.pick(self.processes.len() as u64)).unwrap();
        match self.pick(100) {
            0..7 => {
                let ticks = u32::try_from(1 + self.pick(2)).unwrap();
                self.now += TICK * ticks;
            }
            7 => {
                let reaches = &mut self.processes[index].reaches_store;
                *reaches = !*reaches;
            }
            8 => {
                let pause = TICK * u32::try_from(self.pick(30)).unwrap();
                self.processes[index].paused_until = self.now + pause;
            }
            9 if self.pick(8) == 0 => self.replace(index),
            9 if self.pick(4) == 0 => self.begin_hand_over(index),
            10 => self.deliver_hand_over(),
            11 => self.run_zombie(),
            12..50 => self.serve(index),
            _ if self.processes[index].paused_until > self.now => {}
            50..75 => self.receive(index),
            _ => self.begin(index),
        }
        self.grant();
        self.check()
    }

    /// The holder renews whenever it may, with the longest lease that the rules allow.
    fn grant(&mut self) {
        for process in &self.processes {
            let Role::Holder(holding) = &process.role else { continue };
            if holding.may_schedule(self.now) {
                let confirmed = holding.confirmed();
                let bound = match self.broken {
                    Broken::LeaseIgnoresRescuers => {
                        confirmed.unlisted.map(|at| at + DELAYS.unlisted)
                    }
                    _ => holding.exclusive_until(),
                };
                let end = bound.unwrap().min(self.now + TASK_LEASE);
                self.lease_end = self.lease_end.max(end);
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        let scheduling = |process: &&Process| match &process.role {
            Role::Holder(holding) => holding.may_schedule(self.now),
            Role::Candidate(_) => false,
        };
        let both: Vec<&str> =
            self.processes.iter().filter(scheduling).map(|process| process.name.as_str()).collect();
        if both.len() > 1 { Err(format!("{both:?} schedule at the same time")) } else { Ok(()) }
    }

    /// A process dies and an empty one with a new name takes its place.
    fn replace(&mut self, index: usize) {
        let op = self.processes[index].op.take();
        self.zombies.extend(op);
        let name = format!("n{}", self.next_id);
        self.next_id += 1;
        let role = Role::Candidate(Box::new(Candidate::new(&name, DELAYS)));
        self.processes[index] = Process {
            name,
            role,
            op: None,
            unsettled: None,
            paused_until: self.now,
            reaches_store: true,
        };
    }

    fn begin_hand_over(&mut self, index: usize) {
        let now = self.now;
        let Role::Holder(holding) = &mut self.processes[index].role else { return };
        let Some(to) = holding.row().successors.first().cloned() else { return };
        if holding.is_ended() || !holding.may_schedule(now) {
            return;
        }
        holding.end();
        let age = now - holding.confirmed().unlisted.unwrap();
        let mut inherited = holding.hand_over_state();
        if self.broken == Broken::HandOverForgetsWrite {
            inherited.unsettled = None;
        }
        self.messages.push(HandOver { to, inherited, age });
    }

    fn deliver_hand_over(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let at = usize::try_from(self.pick(self.messages.len() as u64)).unwrap();
        let message = self.messages.swap_remove(at);
        let now = self.now;
        let broken = self.broken;
        let Some(process) = self.processes.iter_mut().find(|process| process.name == message.to)
        else {
            return;
        };
        let Role::Candidate(candidate) = &process.role else { return };
        let epoch = message.inherited.row.epoch;
        let newer = candidate.row().is_some_and(|row| row.epoch > epoch);
        if newer || !candidate.has_no_claim() || process.unsettled.is_some() {
            return;
        }
        let confirmed = match broken {
            Broken::TrustsHandOverAge => Confirmations::all(now - message.age),
            _ => candidate.confirmations(epoch),
        };
        let holding = Holding::new(&message.to, DELAYS, message.inherited, confirmed);
        process.role = Role::Holder(Box::new(holding));
        self.hand_overs += 1;
    }

    /// A request whose sender gave up reaches the table after all.
    fn run_zombie(&mut self) {
        if !self.zombies.is_empty() {
            let at = usize::try_from(self.pick(self.zombies.len() as u64)).unwrap();
            let op = self.zombies.swap_remove(at);
            self.execute(&op);
        }
    }

    fn execute(&mut self, op: &Op) -> Answer {
        match &op.request {
            Request::Read => Answer::Row(self.row.clone(), self.revision),
            Request::Write { row, at, .. } => {
                if let Some(decided) = self.decided.get(&op.id) {
                    return Answer::Decided(*decided);
                }
                let commits = *at == self.revision && !self.forbidden.contains(&op.id);
                if commits {
                    self.revision += 1;
                    self.row = row.clone();
                }
                let decided = commits.then_some(self.revision);
                self.decided.insert(op.id, decided);
                Answer::Decided(decided)
            }
            Request::LookUp { operation, .. } => {
                let decided = self.decided.get(operation).copied().flatten();
                self.forbidden.insert(*operation);
                Answer::Decided(decided)
            }
            Request::Ask { .. } => Answer::Promises,
        }
    }

    /// The request of a process reaches the table or the next peer, or is given up by its sender.
    fn serve(&mut self, index: usize) {
        let Some(mut op) = self.processes[index].op.take() else { return };
        if op.answer.is_none() && !matches!(op.request, Request::Ask { .. }) && self.pick(8) == 0 {
            return self.give_up(index, op);
        }
        if let Request::Ask { class, epoch, left, promised } = &mut op.request {
            if let Some(peer) = left.pop()
                && self.pick(10) > 0
                && self.ask(&peer, *class, *epoch)
            {
                promised.insert(peer);
            }
            if left.is_empty() {
                op.answer = Some(Answer::Promises);
            }
        } else if op.answer.is_none() && self.processes[index].reaches_store {
            let answer = self.execute(&op);
            if self.pick(8) == 0 {
                return self.give_up(index, op);
            }
            op.answer = Some(answer);
        }
        self.processes[index].op = Some(op);
    }

    fn ask(&mut self, peer: &str, class: ClaimantClass, epoch: u64) -> bool {
        let (now, broken) = (self.now, self.broken);
        let Some(process) = self.processes.iter_mut().find(|process| process.name == peer) else {
            return false;
        };
        if process.paused_until > now {
            return false;
        }
        match &mut process.role {
            Role::Holder(_) => false,
            Role::Candidate(_) if broken == Broken::PromisesWithUnknownClaim => true,
            Role::Candidate(candidate) => candidate.on_query(epoch, class, now),
        }
    }

    /// The sender stops waiting. A write may still arrive and must be looked up.
    fn give_up(&mut self, index: usize, op: Op) {
        match &op.request {
            Request::Write { purpose, row, .. } => {
                self.processes[index].unsettled =
                    Some((op.id, purpose.clone(), row.clone(), op.sent));
                self.zombies.push(op);
            }
            Request::LookUp { operation, purpose, row, write_sent } => {
                self.processes[index].unsettled =
                    Some((*operation, purpose.clone(), row.clone(), *write_sent));
            }
            Request::Read | Request::Ask { .. } => {}
        }
    }

    fn begin(&mut self, index: usize) {
        if self.processes[index].op.is_some() {
            return;
        }
        let choice = self.pick(10);
        let now = self.now;
        let next_list = self.processes[usize::try_from(choice).unwrap() % 5].name.clone();
        let process = &mut self.processes[index];
        let request = match (&mut process.role, process.unsettled.take()) {
            (Role::Holder(holding), Some((id, purpose, row, sent))) if choice < 4 => {
                process.unsettled = Some((id, purpose, row, sent));
                ask_request(holding, choice)
            }
            (_, Some((operation, purpose, row, write_sent))) => {
                Request::LookUp { operation, purpose, row, write_sent }
            }
            (Role::Holder(holding), None) if holding.is_ended() => {
                // An ended holder that handed nothing over would release; here it only looks at the row.
                Request::Read
            }
            (Role::Holder(holding), None) => match choice {
                0..3 => ask_request(holding, choice),
                3 if holding.row().claim.is_some() || holding.names_another_holder() => {
                    let row = if holding.names_another_holder() {
                        holding.row().taken_by(&process.name)
                    } else {
                        HoldRow { claim: None, ..holding.row().clone() }
                    };
                    own_write(holding, row)
                }
                4 if holding.row().claim.is_none() && !holding.names_another_holder() => {
                    let mut row = holding.row().clone();
                    row.successors.pop_first();
                    if next_list != process.name && !row.rescuers.contains(&next_list) {
                        row.successors.insert(next_list);
                    }
                    own_write(holding, row)
                }
                _ => Request::Read,
            },
            (Role::Candidate(candidate), None) => match candidate.next_action(choice < 6, now) {
                CandidateAction::Claim(row, at) => {
                    candidate.on_claim_sent(row.clone());
                    Request::Write { purpose: Purpose::Claim, row, at }
                }
                CandidateAction::Take(row, at) => {
                    Request::Write { purpose: Purpose::Take, row, at }
                }
                CandidateAction::Create(_) | CandidateAction::Wait => Request::Read,
            },
        };
        self.next_id += 1;
        let id = self.next_id;
        self.processes[index].op = Some(Op { id, sent: now, request, answer: None });
    }

    fn receive(&mut self, index: usize) {
        let Some(op) = self.processes[index].op.take() else { return };
        let Some(answer) = op.answer.clone() else {
            self.processes[index].op = Some(op);
            return;
        };
        let sent = match self.broken {
            Broken::ConfirmedAtReceipt => self.now,
            _ => op.sent,
        };
        match (op.request, answer) {
            (Request::Read, Answer::Row(row, revision)) => {
                self.on_row(index, &row, revision, sent);
            }
            (Request::Write { purpose, row, .. }, Answer::Decided(decided)) => {
                self.on_decided(index, &purpose, row, decided, sent, op.sent);
            }
            (Request::LookUp { purpose, row, write_sent, .. }, Answer::Decided(decided)) => {
                self.on_decided(index, &purpose, row, decided, write_sent, write_sent);
            }
            (Request::Ask { class, promised, .. }, Answer::Promises) => {
                let one = self.broken == Broken::OnePromiseIsEnough;
                let cut = !self.processes[index].reaches_store;
                let Role::Holder(holding) = &mut self.processes[index].role else { return };
                let named = holding.named_processes(class);
                let enough = if one && !promised.is_empty() { named } else { promised };
                if holding.on_promises(class, &enough, sent) && cut {
                    self.outage_confirmations += 1;
                }
            }
            _ => {}
        }
    }

    fn on_row(&mut self, index: usize, row: &HoldRow, revision: u64, sent: Instant) {
        let now = self.now;
        let process = &mut self.processes[index];
        match &mut process.role {
            Role::Candidate(candidate) => {
                candidate.on_row(Some((row.clone(), revision)), sent, now)
            }
            Role::Holder(holding) => {
                if holding.on_row(Some((row, revision)), sent) == RowVerdict::Lost {
                    process.unsettled = None;
                    process.role = Role::Candidate(Box::new(Candidate::new(&process.name, DELAYS)));
                }
            }
        }
    }

    fn on_decided(
        &mut self,
        index: usize,
        purpose: &Purpose,
        row: HoldRow,
        decided: Option<u64>,
        sent: Instant,
        true_sent: Instant,
    ) {
        let now = self.now;
        let broken = self.broken;
        let process = &mut self.processes[index];
        match (&mut process.role, purpose, decided) {
            (Role::Holder(holding), Purpose::Own, Some(revision)) => {
                holding.on_written(row, revision, sent);
            }
            (Role::Holder(holding), Purpose::Own, None) => holding.on_write_refused(),
            (Role::Candidate(candidate), Purpose::Claim, Some(revision)) => {
                let from = if broken == Broken::ClaimCountedFromSend { true_sent } else { now };
                candidate.on_claim_committed(revision, from);
            }
            (Role::Candidate(_), Purpose::Take, Some(revision)) => {
                let name = process.name.clone();
                let holding = Holding::taken(&name, DELAYS, row, revision, sent);
                process.role = Role::Holder(Box::new(holding));
            }
            (Role::Candidate(candidate), Purpose::Claim | Purpose::Take, None) => {
                candidate.on_claim_refused();
            }
            _ => {}
        }
    }

    /// A rescuer or an unlisted process that took the hold must find every exclusive task stopped.
    pub fn check_take(&mut self, before: &HoldRow) -> Result<(), String> {
        if self.row.epoch == before.epoch {
            return Ok(());
        }
        // A holder by hand-over also changes the epoch when it writes itself into the row.
        let class = match &before.claim {
            Some(claim) if claim.claimant == self.row.holder => claim.class,
            _ => return Ok(()),
        };
        *self.take_overs.entry(class).or_default() += 1;
        let left = self.lease_end.saturating_duration_since(self.now);
        if class != ClaimantClass::Successor && !left.is_zero() {
            return Err(format!("{class:?} took over {left:?} before the last lease ends"));
        }
        Ok(())
    }

    pub fn table_row(&self) -> HoldRow {
        self.row.clone()
    }
}

fn ask_request(holding: &Holding, choice: u64) -> Request {
    let class = if choice == 0 { ClaimantClass::Rescuer } else { ClaimantClass::Successor };
    let left = holding.named_processes(class).into_iter().collect();
    Request::Ask { class, epoch: holding.epoch(), left, promised: BTreeSet::new() }
}

fn own_write(holding: &mut Holding, row: HoldRow) -> Request {
    holding.on_write_sent(row.clone());
    Request::Write { purpose: Purpose::Own, row, at: holding.revision() }
}
