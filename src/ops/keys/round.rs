//! Claims a key at the chosen entry processes and in the table, in one parallel round.

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

/// Result of claiming the row of a key.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RowClaim {
    /// The row belongs to this claim: it was absent, or left by an earlier claim of this process whose commit got no
    /// answer.
    Won,
    /// The row exists, usually of another process.
    Taken(KeyRow),
    /// The table was not asked, gave no answer in time or gave no usable one.
    NoAnswer,
}

/// Result of a round.
#[derive(Debug)]
pub(super) struct Round {
    /// The processes that were asked, and which of them decide.
    recorders: Recorders,
    /// Processes that recorded the claim. Includes this one unless its vote is withheld.
    votes: BTreeSet<String>,
    /// Domains in which a process recorded the claim.
    domains: BTreeSet<String>,
    /// This process and the earlier holder that its record names, if any. The vote of this process is withheld until
    /// that holder has voted.
    withheld_vote: Option<(Member, String)>,
    /// Digests of records of other holders.
    pub(super) taken_digests: Vec<String>,
    /// Result of claiming the key's row.
    pub(super) row: RowClaim,
}

impl Round {
    /// True if a majority has voted for the claim, so that no other claim can have a majority. A retry also needs a
    /// vote from each domain, because a domain that was cut off may have dispatched the first attempt without a
    /// majority.
    pub(super) fn is_granted(&self) -> bool {
        self.recorders.has_majority(&self.votes) && self.recorders.domains.is_subset(&self.domains)
    }

    /// True if an earlier holder has recorded this claim, which it does only after it has released its own.
    pub(super) fn has_released(&self, holder: &str) -> bool {
        self.votes.contains(holder)
    }

    fn vote(&mut self, member: &Member) {
        self.votes.insert(member.process.clone());
        self.domains.insert(member.domain.clone());
        if let Some((own, _)) = self.withheld_vote.take_if(|(_, holder)| *holder == member.process)
        {
            self.votes.insert(own.process);
            self.domains.insert(own.domain);
        }
    }

    /// True if the round may end without the outstanding replies, unless a peer has reported another holder.
    fn is_decided(&self, ask_table: bool) -> bool {
        self.is_granted() && (self.row == RowClaim::Won || !ask_table)
    }
}

/// Timeout of a message that releases a claim.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

enum RoundReply {
    Peer(Member, Result<RecordKeyReply, PeerError>),
    Row(RowClaim),
}

/// This process's own record of the key.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum LocalRecord {
    /// The record was made by this claim.
    ThisClaim,
    /// The record is of an earlier claim, by the process of this name.
    EarlierHolder(String),
}

/// Asks the peers and, if `ask_table`, the table, and waits for their replies for at most `wait`.
pub(super) fn run(
    cx: &Context,
    req: &KeyedRequest,
    local: &LocalRecord,
    ask_table: bool,
    wait: Duration,
) -> Round {
    let deadline = cx.clock.boot() + wait;
    let directory = cx.directory.snapshot();
    let is_retry = req.attempt != Some(1);
    let recorders = Recorders::choose(&directory, &cx.process, &req.key, is_retry);
    let (tx, rx) = mpsc::sync_channel(recorders.asked.len() + 1);
    let mut pending = 0;
    if ask_table {
        pending += 1;
        let recorded = *local == LocalRecord::ThisClaim;
        spawn_request(cx, req, &tx, move |cx, req| {
            RoundReply::Row(claim_row(cx.table.as_ref(), &cx.process, req, recorded))
        });
    }
    for member in recorders.asked.values() {
        pending += 1;
        let member = member.clone();
        spawn_request(cx, req, &tx, move |cx, req| {
            let reply = cx.peers.record_key(&member.peer_address, message(cx, req, false), wait);
            RoundReply::Peer(member, reply)
        });
    }
    let mut round = Round {
        recorders,
        votes: BTreeSet::new(),
        domains: BTreeSet::new(),
        withheld_vote: None,
        taken_digests: Vec::new(),
        row: RowClaim::NoAnswer,
    };
    if let Some(own) = directory.get(&cx.process) {
        match local {
            LocalRecord::ThisClaim => round.vote(own),
            LocalRecord::EarlierHolder(holder) => {
                round.withheld_vote = Some((own.clone(), holder.clone()))
            }
        }
    }
    collect_replies(round, &rx, pending, cx.clock.as_ref(), deadline, ask_table)
}

/// Tells the processes that a claim of the key would ask now that its request did not run. If the message is lost, a
/// later claim still learns it from the holder; the message is needed if the holder stops before that.
pub(super) fn release(cx: &Context, req: &KeyedRequest) {
    let directory = cx.directory.snapshot();
    let is_retry = req.attempt != Some(1);
    let recorders = Recorders::choose(&directory, &cx.process, &req.key, is_retry);
    let (tx, _) = mpsc::sync_channel(recorders.asked.len());
    for member in recorders.asked.into_values() {
        spawn_request(cx, req, &tx, move |cx, req| {
            let msg = message(cx, req, true);
            let reply = cx.peers.record_key(&member.peer_address, msg, RELEASE_TIMEOUT);
            RoundReply::Peer(member, reply)
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

/// Sends one request of the round in a thread of its own.
fn spawn_request(
    cx: &Context,
    req: &KeyedRequest,
    tx: &SyncSender<RoundReply>,
    request: impl FnOnce(&Context, &KeyedRequest) -> RoundReply + Send + 'static,
) {
    let (cx, req, tx) = (cx.clone(), req.clone(), tx.clone());
    // A thread that cannot be started counts as a missing reply.
    let _ = std::thread::Builder::new().name("key-round".to_owned()).spawn(move || {
        // Fails if the round has ended.
        let _ = tx.send(request(&cx, &req));
    });
}

fn collect_replies(
    mut round: Round,
    rx: &Receiver<RoundReply>,
    pending: usize,
    clock: &dyn Clock,
    deadline: Duration,
    ask_table: bool,
) -> Round {
    // Digests of other holders' claims by holder, with the peers that reported them.
    let mut other_holders: BTreeMap<String, (String, Vec<Member>)> = BTreeMap::new();
    for _ in 0..pending {
        let remaining = deadline.saturating_sub(clock.boot());
        let Ok(reply) = rx.recv_timeout(remaining) else { break };
        match reply {
            RoundReply::Row(row) => round.row = row,
            RoundReply::Peer(member, Ok(RecordKeyReply::Recorded)) => round.vote(&member),
            RoundReply::Peer(member, Ok(RecordKeyReply::Taken { holder, digest }))
                if !holder.is_empty() =>
            {
                other_holders.entry(holder).or_insert((digest, Vec::new())).1.push(member);
            }
            RoundReply::Peer(..) => {}
        }
        if other_holders.is_empty() && round.is_decided(ask_table) {
            break;
        }
    }
    for (holder, (digest, reports)) in other_holders {
        // A holder that recorded the new claim has released its own, so the peers' records of it are void.
        if round.votes.contains(&holder) {
            reports.iter().for_each(|member| round.vote(member));
        } else {
            round.taken_digests.push(digest);
        }
    }
    round
}

/// Creates the key's row. `recorded` is true if this process's own record is of this claim.
fn claim_row(table: &dyn Table, own: &str, req: &KeyedRequest, recorded: bool) -> RowClaim {
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
            // The row is of an earlier claim of this process whose commit gave no answer in time. That claim has been
            // released, otherwise this one would not have been recorded in this process.
            RowClaim::Taken(row) if recorded && row.holder == own && !row.finished => RowClaim::Won,
            claim => claim,
        },
        Err(_) => RowClaim::NoAnswer,
    }
}

fn read_row(table: &dyn Table, key: &str) -> RowClaim {
    let req = ReadRequest { keys: vec![key.to_owned()], ..ReadRequest::default() };
    let Ok(response) = table.read(&req) else { return RowClaim::NoAnswer };
    let value = response.row(key).and_then(|row| row.value.clone());
    // If the row was deleted between the commit and the read, the majority decides the claim.
    value
        .and_then(|value| serde_json::from_value(value).ok())
        .map_or(RowClaim::NoAnswer, RowClaim::Taken)
}
