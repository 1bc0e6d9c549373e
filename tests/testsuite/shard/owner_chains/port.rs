//! Store and workers as the processes of a simulation reach them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use plantainlever::ops::jobs::layout;
use plantainlever::port::{Commit, CommitOutcome, RowList, RowStore, StoreError, WorkerPort};
use plantainlever::shard::ShardId;
use plantainlever::shard::ownership::StoreClock;
use plantainlever::shard::report::{RenewalReport, WorkerListing};
use plantainlever::shard::scheduler::{
    Command, CommandKind, CommandOutcome, RenewalFailure, Reply, StartOutcome, StartRefusal,
};
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::workers::Order;
use super::world::{STORE, World};
use crate::shard::rig::Answer;

/// Time limit of a call to the store, and of one to a worker.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);
const WORKER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two looks at a worker whose answer waits for an end.
const END_POLL: Duration = Duration::from_millis(10);

/// Store and workers as one process reaches them.
#[derive(Debug)]
pub struct Port {
    pub world: Rc<World>,
    pub vm: String,
    /// Newest reading of the store's clock.
    pub clock: Cell<Option<StoreClock>>,
}

impl Port {
    /// Calls another party; `None` without an answer within the time limit. The call may take effect later.
    async fn call<T: 'static>(
        &self,
        to: &str,
        limit: Duration,
        action: impl Future<Output = Option<T>> + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let (world, vm, to) = (Rc::clone(&self.world), self.vm.clone(), to.to_owned());
        self.world.spawn(async move {
            let fails_at_once = world.random.borrow_mut().one_in(2);
            match world.exchange(&vm, &to, action).await {
                Some(answer) => drop(sender.send(answer)),
                None if fails_at_once => {}
                None => {
                    sleep(limit).await;
                    drop(sender);
                }
            }
        });
        tokio::time::timeout(limit, receiver).await.ok()?.ok()
    }

    pub async fn call_store<T: 'static>(
        &self,
        limit: Duration,
        action: impl Future<Output = T> + 'static,
    ) -> Result<T, StoreError> {
        let (sent, world) = (self.world.now(), Rc::clone(&self.world));
        let action = async move { Some((action.await, world.clock_ms())) };
        let answer = self.call(STORE, limit, action).await;
        let (answer, reading_ms) =
            answer.ok_or_else(|| StoreError::NoAnswer { cause: "no answer".to_owned() })?;
        if let Some(reading_ms) = reading_ms {
            self.clock.set(Some(StoreClock::new(reading_ms, sent, self.world.now())));
        }
        Ok(answer)
    }

    /// Occupies the thread for as long as a command or its answer takes.
    async fn work(&self) {
        let cost = self.world.call_cost.get();
        if !cost.is_zero() {
            tokio::time::advance(cost).await;
        }
    }

    /// Returns the answer of a worker, with the reading of its clock.
    async fn command(&self, epoch: u64, command: &Command) -> Option<(Answer, u64)> {
        let order = Order {
            process: self.vm.clone(),
            epoch,
            ordered: self.world.now(),
            command: command.clone(),
        };
        let wait = match &command.kind {
            CommandKind::Renew { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let action = carry_out(Rc::clone(&self.world), order, wait);
        self.work().await;
        let answer = self.call(command.worker.as_str(), WORKER_TIMEOUT + wait, action).await;
        self.work().await;
        answer
    }
}

async fn carry_out(world: Rc<World>, order: Order, wait: Duration) -> Option<(Answer, u64)> {
    let until = world.now() + wait;
    let answer = world.workers.borrow_mut().carry_out(&order, world.now())?;
    if !matches!((&order.command.kind, &answer), (CommandKind::Renew { .. }, Answer::Done)) {
        let clock_ms = world.workers.borrow().clock_ms(&order.command.worker, world.now());
        return Some((answer, clock_ms));
    }
    let worker = &order.command.worker;
    let born = world.workers.borrow().born(worker);
    loop {
        let report = world.workers.borrow_mut().report(worker, born, world.now())?;
        if !report.ended.is_empty() || world.now() >= until {
            let clock_ms = report.clock_ms;
            return Some((Answer::Renewed(report), clock_ms));
        }
        sleep(END_POLL).await;
    }
}

impl RowStore for Port {
    async fn read(
        &self,
        table: &str,
        partition: &str,
        from: &str,
        to: &str,
    ) -> Result<RowList, StoreError> {
        let (world, table_name) = (Rc::clone(&self.world), table.to_owned());
        let (partition, from, to) = (partition.to_owned(), from.to_owned(), to.to_owned());
        let read = async move {
            let mut list = world.read(&table_name, &partition);
            list.rows.retain(|row| row.id.key >= from && (to.is_empty() || row.id.key < to));
            list
        };
        let list = self.call_store(STORE_TIMEOUT, read).await?;
        if table == layout::progress_table(ShardId(0)) {
            self.world.record(&self.vm, true, list.rows.clone());
        }
        Ok(list)
    }

    async fn commit(&self, commit: &Commit) -> Result<CommitOutcome, StoreError> {
        let (world, vm, commit) = (Rc::clone(&self.world), self.vm.clone(), commit.clone());
        self.call_store(STORE_TIMEOUT, async move { world.apply(&vm, &commit) }).await
    }

    fn clock(&self) -> Option<StoreClock> {
        self.clock.get()
    }

    async fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<RowList, StoreError> {
        let (world, table) = (Rc::clone(&self.world), table.to_owned());
        let until = world.now() + wait;
        let follow = async move {
            loop {
                let list = world.changes(&table, after);
                if !list.rows.is_empty() || world.now() >= until {
                    return list;
                }
                sleep(END_POLL).await;
            }
        };
        self.call_store(STORE_TIMEOUT + wait, follow).await
    }
}

impl WorkerPort for Port {
    async fn list(&self) -> Result<Vec<WorkerListing>, StoreError> {
        let world = Rc::clone(&self.world);
        let list = async move {
            world.workers.borrow_mut().advance(world.now());
            world.workers.borrow().listed(world.now())
        };
        self.call_store(STORE_TIMEOUT, list).await
    }

    async fn renew(&self, epoch: u64, command: &Command) -> Result<RenewalReport, RenewalFailure> {
        match self.command(epoch, command).await {
            Some((Answer::Renewed(report), _)) => {
                self.world.workers.borrow_mut().record_delivery(&command.worker, &report);
                Ok(report)
            }
            Some((Answer::Fenced, _)) => Err(RenewalFailure::Fenced),
            Some((Answer::OtherIncarnation, _)) => Err(RenewalFailure::OtherIncarnation),
            _ => Err(RenewalFailure::NoAnswer),
        }
    }

    async fn start(&self, epoch: u64, command: &Command) -> Reply<StartOutcome> {
        let (answer, clock_ms) = self.command(epoch, command).await.unzip();
        let outcome = match answer {
            Some(Answer::Done) => StartOutcome::Started,
            Some(Answer::Refused(refusal)) => StartOutcome::Refused(refusal),
            Some(Answer::Fenced) => StartOutcome::Refused(StartRefusal::Fenced),
            Some(Answer::OtherIncarnation) => StartOutcome::Refused(StartRefusal::Unhealthy),
            _ => StartOutcome::Unknown,
        };
        Reply { outcome, clock_ms }
    }

    async fn stop_or_throttle(&self, epoch: u64, command: &Command) -> Reply<CommandOutcome> {
        let (answer, clock_ms) = self.command(epoch, command).await.unzip();
        let outcome = match answer {
            Some(Answer::Done) => CommandOutcome::Done,
            Some(Answer::Fenced) => CommandOutcome::Fenced,
            _ => CommandOutcome::Unknown,
        };
        Reply { outcome, clock_ms }
    }

    fn close_idle(&self, _address: SocketAddr) {}
}
