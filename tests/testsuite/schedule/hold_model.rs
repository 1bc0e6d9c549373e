//! Model of one hold for random walks: a store that is up, down or loses answers, requests that arrive late or after
//! their sender has abandoned them, paused and replaced processes, and hand-over messages that arrive at any time.
//!
//! The seed determines the walk, and a failure names it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use plantainlever::domain::hold::Delays;
use plantainlever::domain::hold::candidate::{Candidate, CandidateAction};
use plantainlever::domain::hold::holding::{Confirmations, Holding, Inherited, RowStatus};
use plantainlever::domain::{ClaimantClass, HoldRow};

const TICK: Duration = Duration::from_millis(100);
const TASK_LEASE: Duration = Duration::from_millis(1_500);
const DELAYS: Delays = Delays {
    successor: Duration::from_millis(900),
    rescuer: Duration::from_millis(2_500),
    unlisted: Duration::from_millis(5_000),
};

/// Rule of the hold protocol that a walk breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BrokenRule {
    None,
    /// The time of a confirmation is the receipt of the answer instead of a time before the send.
    ConfirmedAtReceipt,
    /// The delay of a claim starts before the send instead of at the receipt of the answer.
    ClaimCountedFromSend,
    /// A process promises although its claim is in doubt.
    PromisesWithClaimInDoubt,
    /// One promise confirms a class even if the row names several processes of it.
    OnePromiseIsEnough,
    /// The successor uses the age of the confirmation in the hand-over message.
    TrustsHandOverAge,
    /// The hand-over message omits a write that is in doubt.
    HandOverOmitsWrite,
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
    Write {
        purpose: Purpose,
        row: HoldRow,
        at: u64,
    },
    LookUp {
        operation: u64,
        purpose: Purpose,
        row: HoldRow,
        write_sent: Instant,
    },
    QueryPromises {
        class: ClaimantClass,
        epoch: u64,
        left: Vec<String>,
        promised: BTreeSet<String>,
    },
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
    in_doubt: Option<(u64, Purpose, HoldRow, Instant)>,
    paused_until: Instant,
    reaches_store: bool,
}

struct HandOver {
    to: String,
    inherited: Inherited,
    age: Duration,
}

pub struct Model {
    rng_state: u64,
    broken: BrokenRule,
    now: Instant,
    row: HoldRow,
    revision: u64,
    decided: BTreeMap<u64, Option<u64>>,
    forbidden: BTreeSet<u64>,
    abandoned: Vec<Op>,
    processes: Vec<Process>,
    messages: Vec<HandOver>,
    next_id: u64,
    latest_lease_end: Instant,
    pub take_overs: BTreeMap<ClaimantClass, u64>,
    pub outage_confirmations: u64,
    pub hand_overs: u64,
}

impl Model {
    pub fn new(seed: u64, broken: BrokenRule) -> Self {
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
            rng_state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            broken,
            now,
            row,
            revision: 1,
            decided: BTreeMap::new(),
            forbidden: BTreeSet::new(),
            abandoned: Vec::new(),
            processes: Vec::new(),
            messages: Vec::new(),
            next_id: 1,
            latest_lease_end: now,
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
            in_doubt: None,
            paused_until,
            reaches_store: true,
        });
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state >> 11) % below
    }

    /// Makes one random step. `Err` describes the violated guarantee.
    pub fn step(&mut self) -> Result<(), String> {
        let index = usize::try_from(self.random_below(self.processes.len() as u64)).unwrap();
        match self.random_below(100) {
            0..7 => {
                let ticks = u32::try_from(1 + self.random_below(2)).unwrap();
                self.now += TICK * ticks;
            }
            7 => {
                let reaches = &mut self.processes[index].reaches_store;
                *reaches = !*reaches;
            }
            8 => {
                let pause = TICK * u32::try_from(self.random_below(30)).unwrap();
                self.processes[index].paused_until = self.now + pause;
            }
            9 if self.random_below(8) == 0 => self.replace_process(index),
            9 if self.random_below(4) == 0 => self.begin_hand_over(index),
            10 => self.deliver_hand_over(),
            11 => self.execute_abandoned(),
            12..50 => self.advance_request(index),
            _ if self.processes[index].paused_until > self.now => {}
            50..75 => self.receive_answer(index),
            _ => self.begin_request(index),
        }
        self.renew_leases();
        self.check_single_scheduler()
    }

    /// Renews the leases of every holder that is permitted to, for as long as the rules allow.
    fn renew_leases(&mut self) {
        for process in &self.processes {
            let Role::Holder(holding) = &process.role else { continue };
            if holding.may_schedule(self.now) {
                let confirmed = holding.confirmed();
                let bound = match self.broken {
                    BrokenRule::LeaseIgnoresRescuers => {
                        confirmed.unlisted.map(|at| at + DELAYS.unlisted)
                    }
                    _ => holding.exclusive_until(),
                };
                let end = bound.unwrap().min(self.now + TASK_LEASE);
                self.latest_lease_end = self.latest_lease_end.max(end);
            }
        }
    }

    fn check_single_scheduler(&self) -> Result<(), String> {
        let scheduling = |process: &&Process| match &process.role {
            Role::Holder(holding) => holding.may_schedule(self.now),
            Role::Candidate(_) => false,
        };
        let both: Vec<&str> =
            self.processes.iter().filter(scheduling).map(|process| process.name.as_str()).collect();
        if both.len() > 1 { Err(format!("{both:?} schedule at the same time")) } else { Ok(()) }
    }

    /// Replaces a process, as after a crash, by one with a new name and no state.
    fn replace_process(&mut self, index: usize) {
        let op = self.processes[index].op.take();
        self.abandoned.extend(op);
        let name = format!("n{}", self.next_id);
        self.next_id += 1;
        let role = Role::Candidate(Box::new(Candidate::new(&name, DELAYS)));
        self.processes[index] = Process {
            name,
            role,
            op: None,
            in_doubt: None,
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
        if self.broken == BrokenRule::HandOverOmitsWrite {
            inherited.unsettled = None;
        }
        self.messages.push(HandOver { to, inherited, age });
    }

    fn deliver_hand_over(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let at = usize::try_from(self.random_below(self.messages.len() as u64)).unwrap();
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
        if newer || !candidate.has_no_claim() || process.in_doubt.is_some() {
            return;
        }
        let confirmed = match broken {
            BrokenRule::TrustsHandOverAge => Confirmations::all(now - message.age),
            _ => candidate.confirmations(epoch),
        };
        let holding = Holding::new(&message.to, DELAYS, message.inherited, confirmed);
        process.role = Role::Holder(Box::new(holding));
        self.hand_overs += 1;
    }

    /// Executes a request that its sender has abandoned.
    fn execute_abandoned(&mut self) {
        if !self.abandoned.is_empty() {
            let at = usize::try_from(self.random_below(self.abandoned.len() as u64)).unwrap();
            let op = self.abandoned.swap_remove(at);
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
            Request::QueryPromises { .. } => Answer::Promises,
        }
    }

    /// Lets the request of a process reach the table or the next peer, or lets the sender abandon it.
    fn advance_request(&mut self, index: usize) {
        let Some(mut op) = self.processes[index].op.take() else { return };
        if op.answer.is_none()
            && !matches!(op.request, Request::QueryPromises { .. })
            && self.random_below(8) == 0
        {
            return self.abandon(index, op);
        }
        if let Request::QueryPromises { class, epoch, left, promised } = &mut op.request {
            if let Some(peer) = left.pop()
                && self.random_below(10) > 0
                && self.query_peer(&peer, *class, *epoch)
            {
                promised.insert(peer);
            }
            if left.is_empty() {
                op.answer = Some(Answer::Promises);
            }
        } else if op.answer.is_none() && self.processes[index].reaches_store {
            let answer = self.execute(&op);
            if self.random_below(8) == 0 {
                return self.abandon(index, op);
            }
            op.answer = Some(answer);
        }
        self.processes[index].op = Some(op);
    }

    fn query_peer(&mut self, peer: &str, class: ClaimantClass, epoch: u64) -> bool {
        let (now, broken) = (self.now, self.broken);
        let Some(process) = self.processes.iter_mut().find(|process| process.name == peer) else {
            return false;
        };
        if process.paused_until > now {
            return false;
        }
        match &mut process.role {
            Role::Holder(_) => false,
            Role::Candidate(_) if broken == BrokenRule::PromisesWithClaimInDoubt => true,
            Role::Candidate(candidate) => candidate.on_query(epoch, class, now),
        }
    }

    /// Makes the sender stop waiting. A write may still be executed, so it is in doubt and must be looked up.
    fn abandon(&mut self, index: usize, op: Op) {
        match &op.request {
            Request::Write { purpose, row, .. } => {
                self.processes[index].in_doubt =
                    Some((op.id, purpose.clone(), row.clone(), op.sent));
                self.abandoned.push(op);
            }
            Request::LookUp { operation, purpose, row, write_sent } => {
                self.processes[index].in_doubt =
                    Some((*operation, purpose.clone(), row.clone(), *write_sent));
            }
            Request::Read | Request::QueryPromises { .. } => {}
        }
    }

    fn begin_request(&mut self, index: usize) {
        if self.processes[index].op.is_some() {
            return;
        }
        let choice = self.random_below(10);
        let now = self.now;
        let next_list = self.processes[usize::try_from(choice).unwrap() % 5].name.clone();
        let process = &mut self.processes[index];
        let request = match (&mut process.role, process.in_doubt.take()) {
            (Role::Holder(holding), Some((id, purpose, row, sent))) if choice < 4 => {
                process.in_doubt = Some((id, purpose, row, sent));
                promise_request(holding, choice)
            }
            (_, Some((operation, purpose, row, write_sent))) => {
                Request::LookUp { operation, purpose, row, write_sent }
            }
            (Role::Holder(holding), None) if holding.is_ended() => {
                // A real process would release the hold here if it could not hand it over; the model only reads the
                // row.
                Request::Read
            }
            (Role::Holder(holding), None) => match choice {
                0..3 => promise_request(holding, choice),
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

    fn receive_answer(&mut self, index: usize) {
        let Some(op) = self.processes[index].op.take() else { return };
        let Some(answer) = op.answer.clone() else {
            self.processes[index].op = Some(op);
            return;
        };
        let sent = match self.broken {
            BrokenRule::ConfirmedAtReceipt => self.now,
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
            (Request::QueryPromises { class, promised, .. }, Answer::Promises) => {
                let one = self.broken == BrokenRule::OnePromiseIsEnough;
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
                if holding.on_row(Some((row, revision)), sent) == RowStatus::Lost {
                    process.in_doubt = None;
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
        actual_sent: Instant,
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
                let from =
                    if broken == BrokenRule::ClaimCountedFromSend { actual_sent } else { now };
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

    /// Checks that every lease of an exclusive task has ended if a rescuer or an unlisted process has taken the hold.
    pub fn check_take_over(&mut self, before: &HoldRow) -> Result<(), String> {
        if self.row.epoch == before.epoch {
            return Ok(());
        }
        // A holder by hand-over also raises the epoch when it writes itself into the row.
        let class = match &before.claim {
            Some(claim) if claim.claimant == self.row.holder => claim.class,
            _ => return Ok(()),
        };
        *self.take_overs.entry(class).or_default() += 1;
        let left = self.latest_lease_end.saturating_duration_since(self.now);
        if class != ClaimantClass::Successor && !left.is_zero() {
            return Err(format!("{class:?} took over {left:?} before the last lease ends"));
        }
        Ok(())
    }

    pub fn table_row(&self) -> HoldRow {
        self.row.clone()
    }
}

fn promise_request(holding: &Holding, choice: u64) -> Request {
    let class = if choice == 0 { ClaimantClass::Rescuer } else { ClaimantClass::Successor };
    let left = holding.named_processes(class).into_iter().collect();
    Request::QueryPromises { class, epoch: holding.epoch(), left, promised: BTreeSet::new() }
}

fn own_write(holding: &mut Holding, row: HoldRow) -> Request {
    holding.on_write_sent(row.clone());
    Request::Write { purpose: Purpose::Own, row, at: holding.revision() }
}
