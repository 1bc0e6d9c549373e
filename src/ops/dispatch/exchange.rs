//! Threads that talk to executors.
//!
//! A caller gets its answer at the deadline whatever the executor does, while the slot stays taken until the executor
//! has answered or its connection has been closed. The exchange therefore has a thread of its own, and a caller that no
//! longer waits does not end it.

use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use super::DispatchError;

/// Work of one exchange.
pub(super) type Job = Box<dyn FnOnce() + Send>;

/// The threads. They end when the pool is closed and the jobs in the ring have run.
#[derive(Debug)]
pub(super) struct ExchangePool {
    ring: Mutex<Option<SyncSender<Job>>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl ExchangePool {
    /// Starts `count` threads.
    pub(super) fn start(count: usize) -> Result<Self, DispatchError> {
        let (tx, rx) = mpsc::sync_channel::<Job>(count);
        let rx = Arc::new(Mutex::new(rx));
        let threads = (0..count)
            .map(|index| {
                let rx = Arc::clone(&rx);
                std::thread::Builder::new()
                    .name(format!("exchange-{index}"))
                    .spawn(move || run(&rx))
                    .map_err(|source| DispatchError::Thread { source })
            })
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self { ring: Mutex::new(Some(tx)), threads: Mutex::new(threads) })
    }

    /// Hands a job to a thread. Gives it back if the ring is full or the pool is closed.
    pub(super) fn submit(&self, job: Job) -> Result<(), Job> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some(ring) = ring else { return Err(job) };
        ring.try_send(job).map_err(|error| match error {
            mpsc::TrySendError::Full(job) | mpsc::TrySendError::Disconnected(job) => job,
        })
    }

    /// Lets the threads end and joins them.
    pub(super) fn close(&self) {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner).take();
        let threads =
            std::mem::take(&mut *self.threads.lock().unwrap_or_else(PoisonError::into_inner));
        for thread in threads {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn run(ring: &Mutex<Receiver<Job>>) {
    loop {
        let next = ring.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = next else { return };
        job();
    }
}
