//! Thread pool for exchanges with executors.
//!
//! A caller gets its answer by its deadline whatever the executor does, while the slot stays occupied until the
//! executor has answered or the connection is closed. An exchange therefore runs in a thread of its own, and goes on
//! when the caller has stopped waiting.

use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use super::DispatchError;

/// Sends one request, waits for its answer and releases its slot.
pub(super) type ExchangeJob = Box<dyn FnOnce() + Send>;

/// Runs exchange jobs. The threads end once the pool is closed and the jobs in the queue have run.
#[derive(Debug)]
pub(super) struct ExchangePool {
    queue: Mutex<Option<SyncSender<ExchangeJob>>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl ExchangePool {
    /// Starts `count` threads, with a queue of `count` jobs.
    pub(super) fn start(count: usize) -> Result<Self, DispatchError> {
        let (tx, rx) = mpsc::sync_channel::<ExchangeJob>(count);
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
        Ok(Self { queue: Mutex::new(Some(tx)), threads: Mutex::new(threads) })
    }

    /// Hands a job to a thread. Gives it back if the queue is full or the pool is closed.
    pub(super) fn submit(&self, job: ExchangeJob) -> Result<(), ExchangeJob> {
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some(queue) = queue else { return Err(job) };
        queue.try_send(job).map_err(|error| match error {
            mpsc::TrySendError::Full(job) | mpsc::TrySendError::Disconnected(job) => job,
        })
    }

    /// Closes the queue and joins the threads.
    pub(super) fn close(&self) {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).take();
        let threads =
            std::mem::take(&mut *self.threads.lock().unwrap_or_else(PoisonError::into_inner));
        for thread in threads {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn run(queue: &Mutex<Receiver<ExchangeJob>>) {
    loop {
        let next = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = next else { return };
        job();
    }
}
