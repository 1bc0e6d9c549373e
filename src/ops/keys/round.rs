//! One parallel round over the other entry processes and the table.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::time::Duration;

use super::KeyedRequest;
use crate::clock::Clock;
use crate::ops::Context;
use crate::peer::{Member, PeerError, RecordKey, RecordKeyReply};
use crate::platform::table::{CommitResult, Condition, ReadRequest, Table, Transaction, Write};
use crate::request::key::{KeyRow, row_key};
use crate::request::recorders::Recorders;

/// What the table said.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RowClaim {
    /// The row is this process's.
    Won,
    /// The row is another process's.
    Known(KeyRow),
    /// No answer in time.
    NoAnswer,
}

/// Result of a round.
#[derive(Debug)]
pub(super) struct Round {
    /// The processes that were asked and what their votes mean.
    recorders: Recorders,
    /// Processes that recorded the claim, this one included.
    votes: BTreeSet<String>,
    /// Domains in which a process recorded the claim.
    domains: BTreeSet<String>,
    /// This process and the earlier holder that it knows of; its own vote counts once that holder has voted.
    withheld: Option<(Member, String)>,
    /// Digests of records of other holders.
    pub(super) taken: Vec<String>,
    /// The table's part.
    pub(super) row: RowClaim,
}

impl Round {
    /// True if no other claim that asked a majority can have been granted, and, for a repeat, if each domain has been
    /// asked: a domain that was cut off may have dispatched a first attempt on the caller's word.
    pub(super) fn is_granted(&self) -> bool {
        self.recorders.is_majority(&self.votes) && self.recorders.domains.is_subset(&self.domains)
    }

    /// True if an earlier holder has recorded this claim, which it only does after it released its own.
    pub(super) fn has_released(&self, holder: &str) -> bool {
        self.votes.contains(holder)
    }

    fn vote(&mut self, member: &Member) {
        self.votes.insert(member.process.clone());
        self.domains.insert(member.domain.clone());
        if let Some((own, _)) = self.withheld.take_if(|(_, holder)| *holder == member.process) {
            self.votes.insert(own.process);
            self.domains.insert(own.domain);
        }
    }

    /// True once nothing that is still under way can change the decision.
    fn is_decided(&self, ask_table: bool) -> bool {
        self.is_granted() && (self.row == RowClaim::Won || !ask_table)
    }
}

/// Timeout of a message that releases a key.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

enum Part {
    Peer(Member, Result<RecordKeyReply, PeerError>),
    Row(RowClaim),
}

/// What this process itself knows of the key.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Local {
    /// It has recorded the claim.
    Recorded,
    /// It has a record of an earlier holder.
    Known(String),
}

/// Asks all at once and waits for at most `wait`. The table is asked only if `ask_table`.
pub(super) fn ask(
    cx: &Context,
    req: &KeyedRequest,
    local: &Local,
    ask_table: bool,
    wait: Duration,
) -> Round {
    let deadline = cx.clock.boot() + wait;
    let directory = cx.directory.snapshot();
    let is_repeat = req.attempt != Some(1);
    let recorders = Recorders::choose(&directory, &cx.process, &req.key, is_repeat);
    let (tx, rx) = mpsc::sync_channel(recorders.asked.len() + 1);
    let mut open = 0;
    if ask_table {
        open += 1;
        let recorded = *local == Local::Recorded;
        start(cx, req, &tx, move |cx, req| {
            Part::Row(claim_row(cx.table.as_ref(), &cx.process, req, recorded))
        });
    }
    for member in recorders.asked.values() {
        open += 1;
        let member = member.clone();
        start(cx, req, &tx, move |cx, req| {
            let reply = cx.peers.record_key(&member.peer_address, message(cx, req, false), wait);
            Part::Peer(member, reply)
        });
    }
    let mut round = Round {
        recorders,
        votes: BTreeSet::new(),
        domains: BTreeSet::new(),
        withheld: None,
        taken: Vec::new(),
        row: RowClaim::NoAnswer,
    };
    if let Some(own) = directory.get(&cx.process) {
        match local {
            Local::Recorded => round.vote(own),
            Local::Known(holder) => round.withheld = Some((own.clone(), holder.clone())),
        }
    }
    collect(round, &rx, open, cx.clock.as_ref(), deadline, ask_table)
}

/// Tells the processes that recorded a claim that its request did not run. A process that misses it asks the holder
/// when the key is claimed again; the message matters if the holder ends before that.
pub(super) fn release(cx: &Context, req: &KeyedRequest) {
    let directory = cx.directory.snapshot();
    let is_repeat = req.attempt != Some(1);
    let recorders = Recorders::choose(&directory, &cx.process, &req.key, is_repeat);
    let (tx, _) = mpsc::sync_channel(recorders.asked.len());
    for member in recorders.asked.into_values() {
        start(cx, req, &tx, move |cx, req| {
            let msg = message(cx, req, true);
            let reply = cx.peers.record_key(&member.peer_address, msg, RELEASE_TIMEOUT);
            Part::Peer(member, reply)
        });
    }
}

fn message(cx: &Context, req: &KeyedRequest, release: bool) -> RecordKey {
    RecordKey {
        service: req.service.clone(),
        key: req.key.clone(),
        digest: req.digest.clone(),
        holder: cx.process.clone(),
        release,
    }
}

/// Runs one part in a thread. A part whose thread cannot be started gives no answer.
fn start(
    cx: &Context,
    req: &KeyedRequest,
    tx: &SyncSender<Part>,
    part: impl FnOnce(&Context, &KeyedRequest) -> Part + Send + 'static,
) {
    let (cx, req, tx) = (cx.clone(), req.clone(), tx.clone());
    // The failure shows as a missing answer.
    let _ = std::thread::Builder::new().name("key-round".to_owned()).spawn(move || {
        // The round may have ended.
        let _ = tx.send(part(&cx, &req));
    });
}

fn collect(
    mut round: Round,
    rx: &Receiver<Part>,
    open: usize,
    clock: &dyn Clock,
    deadline: Duration,
    ask_table: bool,
) -> Round {
    // Records of other holders by holder, with the peers that reported each.
    let mut others: BTreeMap<String, (String, Vec<Member>)> = BTreeMap::new();
    for _ in 0..open {
        let remaining = deadline.saturating_sub(clock.boot());
        let Ok(part) = rx.recv_timeout(remaining) else { break };
        match part {
            Part::Row(row) => round.row = row,
            Part::Peer(member, Ok(RecordKeyReply::Recorded)) => round.vote(&member),
            Part::Peer(member, Ok(RecordKeyReply::Taken { holder, digest }))
                if !holder.is_empty() =>
            {
                others.entry(holder).or_insert((digest, Vec::new())).1.push(member);
            }
            Part::Peer(..) => {}
        }
        if others.is_empty() && round.is_decided(ask_table) {
            break;
        }
    }
    for (holder, (digest, reports)) in others {
        // A holder that recorded the new claim has released its own.
        if round.votes.contains(&holder) {
            reports.iter().for_each(|member| round.vote(member));
        } else {
            round.taken.push(digest);
        }
    }
    round
}

fn claim_row(table: &dyn Table, own: &str, req: &KeyedRequest, local: bool) -> RowClaim {
    let key = row_key(&req.service, &req.key);
    let content = KeyRow {
        holder: own.to_owned(),
        digest: req.digest.clone(),
        finished: false,
        answer: None,
    };
    let Ok(value) = serde_json::to_value(content) else { return RowClaim::NoAnswer };
    let txn = Transaction {
        operation: format!("{own}-{:016x}", rand::random::<u64>()),
        conditions: vec![Condition::Absent { key: key.clone() }],
        writes: vec![Write::Put { key: key.clone(), value }],
    };
    match table.commit(&txn) {
        Ok(CommitResult::Committed { .. }) => RowClaim::Won,
        Ok(CommitResult::Conflict { .. }) => match read_row(table, &key) {
            // The row of an earlier claim of this process, whose commit gave no answer in time. That claim has been
            // released, or this one would not have been recorded here.
            RowClaim::Known(row) if local && row.holder == own && !row.finished => RowClaim::Won,
            claim => claim,
        },
        Err(_) => RowClaim::NoAnswer,
    }
}

fn read_row(table: &dyn Table, key: &str) -> RowClaim {
    let req = ReadRequest { keys: vec![key.to_owned()], ..ReadRequest::default() };
    let Ok(response) = table.read(&req) else { return RowClaim::NoAnswer };
    let value = response.row(key).and_then(|row| row.value.clone());
    // A row that was deleted between the two calls leaves the claim to the majority.
    value
        .and_then(|value| serde_json::from_value(value).ok())
        .map_or(RowClaim::NoAnswer, RowClaim::Known)
}
