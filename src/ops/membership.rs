//! Runs the rules of [`crate::peer::membership`]: sends and answers heartbeats in the domain.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use thiserror::Error;

use super::Context;
use crate::peer::directory;
use crate::peer::membership::{Change, Membership, Share, Timeouts};
use crate::peer::{Heartbeat, HeartbeatReply, PeerError};
use crate::platform::table::{Transaction, Write};
use crate::telemetry::event::peer as event;

/// Ticks per heartbeat period; several, so that a pause of the process is detected soon.
const TICKS_PER_HEARTBEAT: u32 = 5;

/// How long a process must have been lost before its member row is deleted.
const LOST_ROW_TIMEOUT: Duration = Duration::from_secs(30);

/// Why the exchange of heartbeats could not start.
#[derive(Debug, Error)]
pub enum MembershipError {
    /// The heartbeat thread could not be started.
    #[error("cannot start the heartbeat thread")]
    Thread {
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
}

/// This process's current share of the slots, for the dispatcher.
#[derive(Clone, Debug)]
pub struct CurrentShare {
    source: ShareSource,
}

#[derive(Clone, Debug)]
enum ShareSource {
    Whole(Arc<Share>),
    Members(Arc<Mutex<State>>),
}

impl CurrentShare {
    /// All slots, for the only process of a domain, such as that of the `dev` command.
    #[must_use]
    pub fn whole(own: &str, now: Instant) -> Self {
        Self { source: ShareSource::Whole(Arc::new(Share::whole(own, now))) }
    }

    /// This process's share, or `None` while it may use no slots.
    #[must_use]
    pub fn get(&self, now: Instant) -> Option<Arc<Share>> {
        match &self.source {
            ShareSource::Whole(share) => Some(Arc::clone(share)),
            ShareSource::Members(state) => lock(state).rules.share(now).map(Arc::new),
        }
    }
}

#[derive(Debug)]
struct State {
    rules: Membership,
    /// Free slots of each process, from its last heartbeat or acknowledgement.
    free_slots: BTreeMap<String, u32>,
    /// Processes in a planned stop.
    stopping: BTreeSet<String>,
    /// Processes, this one included, whose reply to a heartbeat is outstanding.
    awaiting_reply: BTreeSet<String>,
    /// This process's free slots, which heartbeats tell the peers.
    own_free_slots: u32,
    /// Lost processes whose rows are not deleted yet, with the time of the loss.
    lost: BTreeMap<String, Instant>,
}

/// Sends and answers heartbeats.
#[derive(Debug)]
pub struct Heartbeats {
    cx: Context,
    state: Arc<Mutex<State>>,
}

/// Handle of the running heartbeat thread.
#[derive(Debug)]
pub struct HeartbeatThread {
    thread: JoinHandle<()>,
}

impl Heartbeats {
    /// Answers heartbeats from now on; [`Self::start`] begins to send them.
    #[must_use]
    pub fn new(cx: Context) -> Arc<Self> {
        let timing = &cx.cfg.timing;
        let timeouts = Timeouts {
            share_lease: timing.share_lease(),
            member_timeout: timing.member_timeout(),
            pause_limit: timing.pause_limit(),
        };
        let state = State {
            rules: Membership::new(&cx.process, timeouts, cx.clock.now()),
            free_slots: BTreeMap::new(),
            stopping: BTreeSet::new(),
            awaiting_reply: BTreeSet::new(),
            own_free_slots: 0,
            lost: BTreeMap::new(),
        };
        Arc::new(Self { cx, state: Arc::new(Mutex::new(state)) })
    }

    /// Starts the thread that sends heartbeats.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub fn start(self: &Arc<Self>) -> Result<HeartbeatThread, MembershipError> {
        let heartbeats = Arc::clone(self);
        let thread = std::thread::Builder::new()
            .name("heartbeat".to_owned())
            .spawn(move || heartbeats.run())
            .map_err(|source| MembershipError::Thread { source })?;
        Ok(HeartbeatThread { thread })
    }

    /// This process's share of the slots, for the dispatcher.
    #[must_use]
    pub fn current_share(&self) -> CurrentShare {
        CurrentShare { source: ShareSource::Members(Arc::clone(&self.state)) }
    }

    /// Sets the number of free slots that heartbeats report.
    pub fn set_free_slots(&self, free_slots: u32) {
        lock(&self.state).own_free_slots = free_slots;
    }

    /// Free slots of the other members by process, without those in a planned stop.
    #[must_use]
    pub fn member_free_slots(&self) -> BTreeMap<String, u32> {
        let state = lock(&self.state);
        let members = state.rules.members().iter().filter(|name| !state.stopping.contains(*name));
        members
            .map(|name| (name.clone(), state.free_slots.get(name).copied().unwrap_or(0)))
            .collect()
    }

    /// Answers a heartbeat.
    #[must_use]
    pub fn on_heartbeat(&self, msg: &Heartbeat) -> HeartbeatReply {
        let mut state = lock(&self.state);
        if msg.domain == self.cx.cfg.domain && msg.from != self.cx.process {
            let change = state.rules.on_heartbeat(&msg.from, self.cx.clock.now());
            self.on_change(&mut state, change);
            state.record_peer_state(&msg.from, msg.free_slots, msg.stopping);
        }
        HeartbeatReply {
            from: self.cx.process.clone(),
            domain: self.cx.cfg.domain.clone(),
            stopping: self.cx.stop.is_draining(),
            free_slots: state.own_free_slots,
        }
    }

    fn run(self: &Arc<Self>) {
        let period = self.cx.cfg.timing.heartbeat();
        let mut sent: Option<Instant> = None;
        while !self.cx.stop.is_stopped() {
            let now = self.cx.clock.now();
            self.tick(now);
            if sent.is_none_or(|sent| now.saturating_duration_since(sent) >= period) {
                sent = Some(now);
                self.send_all();
                self.delete_rows();
            }
            self.cx.clock.sleep(period / TICKS_PER_HEARTBEAT);
        }
    }

    fn tick(&self, now: Instant) {
        let known = self.peer_addresses();
        let mut state = lock(&self.state);
        if let Some(known) = known {
            state.rules.set_known(&known.into_keys().collect(), now);
        }
        for change in state.rules.tick(now) {
            self.on_change(&mut state, Some(change));
        }
    }

    /// Addresses of the other processes of the domain, by process name, or by address for peers known only from the
    /// settings. `None` until this process's own member row has been read, unless the settings name peers: an earlier
    /// read of the directory may miss a process that started at the same time.
    fn peer_addresses(&self) -> Option<BTreeMap<String, String>> {
        let directory = self.cx.directory.snapshot();
        let domain = &self.cx.cfg.domain;
        let mut known: BTreeMap<String, String> = directory
            .values()
            .filter(|member| member.domain == *domain && member.process != self.cx.process)
            .map(|member| (member.process.clone(), member.peer_address.clone()))
            .collect();
        for seed in self.cx.cfg.peers.iter().filter(|seed| seed.domain == *domain) {
            let address = seed.address.to_string();
            if !known.values().any(|known| *known == address) {
                known.insert(address.clone(), address);
            }
        }
        let listed = directory.contains_key(&self.cx.process);
        (listed || !self.cx.cfg.peers.is_empty()).then_some(known)
    }

    /// Sends each heartbeat in a thread of its own, so that a frozen peer delays neither the other heartbeats nor the
    /// ticks. Skips a peer that has not answered the last heartbeat. This process sends one to itself too, as a check
    /// of its own peer interface.
    fn send_all(self: &Arc<Self>) {
        let Some(mut known) = self.peer_addresses() else { return };
        let directory = self.cx.directory.snapshot();
        let own = directory.get(&self.cx.process).map(|own| own.peer_address.clone());
        let own = own.unwrap_or_else(|| self.cx.cfg.peer_listen.to_string());
        known.insert(self.cx.process.clone(), own);
        for (name, address) in known {
            if !lock(&self.state).awaiting_reply.insert(name.clone()) {
                continue;
            }
            let heartbeats = Arc::clone(self);
            let recipient = name.clone();
            let spawned = std::thread::Builder::new()
                .name("heartbeat-send".to_owned())
                .spawn(move || heartbeats.send(&recipient, &address));
            if spawned.is_err() {
                lock(&self.state).awaiting_reply.remove(&name);
            }
        }
    }

    fn send(&self, name: &str, address: &str) {
        let msg = Heartbeat {
            from: self.cx.process.clone(),
            domain: self.cx.cfg.domain.clone(),
            address: self.cx.cfg.peer_listen.to_string(),
            stopping: self.cx.stop.is_draining(),
            free_slots: lock(&self.state).own_free_slots,
        };
        let sent_at = self.cx.clock.now();
        let timeout = self.cx.cfg.timing.heartbeat();
        let result = self.cx.peers.heartbeat(address, msg, timeout);
        let mut state = lock(&self.state);
        state.awaiting_reply.remove(name);
        match result {
            Ok(reply) if reply.from == self.cx.process => state.rules.on_self_acknowledged(sent_at),
            Ok(reply) if reply.domain == self.cx.cfg.domain => {
                let now = self.cx.clock.now();
                let change = state.rules.on_acknowledged(&reply.from, sent_at, now);
                self.on_change(&mut state, change);
                if reply.from != name && name != self.cx.process {
                    // Another process answers at this address, so the process of this name has stopped.
                    state.rules.on_refused(name, sent_at);
                }
                state.record_peer_state(&reply.from, reply.free_slots, reply.stopping);
            }
            Err(PeerError::Unreachable { cause, .. })
                if cause.contains("refused") && name != self.cx.process =>
            {
                state.rules.on_refused(name, sent_at);
            }
            Ok(_) | Err(_) => {}
        }
    }

    fn on_change(&self, state: &mut State, change: Option<Change>) {
        match change {
            Some(Change::Joined(name)) => {
                state.lost.remove(&name);
                event::MEMBER_JOINED.emit(format_args!("process={name}"));
            }
            Some(Change::Lost(name)) => {
                event::MEMBER_LOST.emit(format_args!("process={name}"));
                state.free_slots.remove(&name);
                state.stopping.remove(&name);
                state.lost.insert(name, self.cx.clock.now());
            }
            Some(Change::Paused) => {
                event::PAUSED.emit(format_args!("dispatch waits for the peers' answers"));
            }
            Some(Change::Unanswered) => {
                event::UNANSWERED.emit(format_args!("dispatch waits for the peers' answers"));
            }
            None => {}
        }
    }

    /// Deletes the rows of processes lost for [`LOST_ROW_TIMEOUT`], because a starting process waits for all listed
    /// ones.
    fn delete_rows(&self) {
        let now = self.cx.clock.now();
        let old: Vec<String> = lock(&self.state)
            .lost
            .iter()
            .filter(|(_, lost)| now.saturating_duration_since(**lost) >= LOST_ROW_TIMEOUT)
            .map(|(name, _)| name.clone())
            .collect();
        for name in old {
            let key = directory::row_key(&self.cx.cfg.domain, &name);
            let txn = Transaction {
                operation: format!("{}-row-{name}", self.cx.process),
                conditions: Vec::new(),
                writes: vec![Write::Delete { key }],
            };
            // Safe to repeat or delay: process names are unique per start, so the row can be of no other process.
            if self.cx.table.commit(&txn).is_ok() {
                lock(&self.state).lost.remove(&name);
                self.cx.directory.remove(&name);
                event::MEMBER_ROW_DELETED.emit(format_args!("process={name}"));
            }
        }
    }
}

impl HeartbeatThread {
    /// Waits for the thread, which ends once the context's stop signal is set.
    pub fn close(self) {
        // A panic of the thread has been reported by the panic hook.
        let _ = self.thread.join();
    }
}

impl State {
    fn record_peer_state(&mut self, from: &str, free_slots: u32, stopping: bool) {
        self.free_slots.insert(from.to_owned(), free_slots);
        if stopping {
            self.stopping.insert(from.to_owned());
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
