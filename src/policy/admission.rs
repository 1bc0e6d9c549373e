//! Decides which requests wait for a slot and which are refused early.
//!
//! A request that cannot meet its deadline only delays others, so it is refused at its arrival, while the caller can
//! still go elsewhere. The queue of a service is first in, first out: an order by deadline would let later arrivals
//! overtake a request that was admitted on an estimate.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::catalogue::Class;

/// Multiple of the mean service time that is reserved for the run itself. A request's own run may take longer than the
/// mean, and the deadline holds for the answer.
const RUN_RESERVE: u32 = 2;

/// How fast a service works now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRate {
    /// Slots of this process over all usable targets.
    pub slots: u32,
    /// Mean time that a request occupies a slot; zero if nothing has been measured.
    pub mean: Duration,
}

/// Why a request does not wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The estimate passes the deadline.
    TooLate {
        /// Expected wait for a slot.
        wait: Duration,
    },
    /// The queue of the class is full.
    QueueFull,
    /// No target of the service is usable.
    NoTarget,
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: u64,
    class: Class,
    deadline: Instant,
}

/// What an arrival leads to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admitted {
    /// A batch request that must be refused to make room.
    pub shed: Option<u64>,
}

/// The queues of all services of a process.
#[derive(Debug)]
pub struct Admission {
    /// Longest queue per class, and longest queue of both classes together.
    limit: usize,
    /// Requests in order of arrival by service. Invariant: no empty queue is kept.
    queues: BTreeMap<String, VecDeque<Waiting>>,
    /// Requests that wait, by class.
    waiting: BTreeMap<Class, usize>,
}

impl Admission {
    /// Creates empty queues that hold at most `limit` requests.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, queues: BTreeMap::new(), waiting: BTreeMap::new() }
    }

    /// Requests that wait for a service.
    #[must_use]
    pub fn waiting_for(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, VecDeque::len)
    }

    /// Offers a request to the queue of its service.
    ///
    /// # Errors
    ///
    /// The refusal; nothing has changed then.
    pub fn offer(
        &mut self,
        service: &str,
        ticket: u64,
        class: Class,
        deadline: Instant,
        now: Instant,
        rate: ServiceRate,
    ) -> Result<Admitted, Refusal> {
        if rate.slots == 0 {
            return Err(Refusal::NoTarget);
        }
        let wait = wait_estimate(self.waiting_for(service), rate);
        if now + wait + rate.mean * RUN_RESERVE > deadline {
            return Err(Refusal::TooLate { wait });
        }
        let shed = self.make_room(class)?;
        let queue = self.queues.entry(service.to_owned()).or_default();
        queue.push_back(Waiting { ticket, class, deadline });
        *self.waiting.entry(class).or_default() += 1;
        Ok(Admitted { shed })
    }

    /// Takes the next request of a service.
    pub fn next(&mut self, service: &str) -> Option<u64> {
        let queue = self.queues.get_mut(service)?;
        let next = queue.pop_front()?;
        if queue.is_empty() {
            self.queues.remove(service);
        }
        self.forget(next.class);
        Some(next.ticket)
    }

    /// Takes the requests that can no longer meet their deadlines.
    pub fn expire(&mut self, service: &str, now: Instant, mean: Duration) -> Vec<u64> {
        let Some(queue) = self.queues.get_mut(service) else { return Vec::new() };
        let (late, kept) = queue.drain(..).partition(|waiting| now + mean > waiting.deadline);
        let late: Vec<Waiting> = late;
        *queue = Vec::into(kept);
        if queue.is_empty() {
            self.queues.remove(service);
        }
        for waiting in &late {
            self.forget(waiting.class);
        }
        late.iter().map(|waiting| waiting.ticket).collect()
    }

    /// Takes a request out, whose caller no longer waits. False if it was not in the queue.
    pub fn remove(&mut self, service: &str, ticket: u64) -> bool {
        let Some(queue) = self.queues.get_mut(service) else { return false };
        let Some(index) = queue.iter().position(|waiting| waiting.ticket == ticket) else {
            return false;
        };
        let removed = queue.remove(index);
        if queue.is_empty() {
            self.queues.remove(service);
        }
        if let Some(removed) = removed {
            self.forget(removed.class);
        }
        true
    }

    /// Services with waiting requests.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.queues.keys().map(String::as_str)
    }

    fn forget(&mut self, class: Class) {
        if let Some(count) = self.waiting.get_mut(&class) {
            *count = count.saturating_sub(1);
        }
    }

    fn make_room(&mut self, class: Class) -> Result<Option<u64>, Refusal> {
        let count = |class| self.waiting.get(&class).copied().unwrap_or(0);
        if count(class) >= self.limit {
            return Err(Refusal::QueueFull);
        }
        if count(Class::Batch) + count(Class::LatencyCritical) < self.limit {
            return Ok(None);
        }
        if class == Class::Batch {
            return Err(Refusal::QueueFull);
        }
        self.shed_batch().map(Some).ok_or(Refusal::QueueFull)
    }

    /// Takes the batch request that arrived last, which has waited least.
    fn shed_batch(&mut self) -> Option<u64> {
        let newest = self.queues.iter().flat_map(|(service, queue)| {
            let batch = queue.iter().filter(|waiting| waiting.class == Class::Batch);
            batch.map(move |waiting| (waiting.ticket, service.clone()))
        });
        let (ticket, service) = newest.max()?;
        self.remove(&service, ticket);
        Some(ticket)
    }
}

/// Expected wait of a request behind `ahead` others while all slots are taken.
#[must_use]
pub fn wait_estimate(ahead: usize, rate: ServiceRate) -> Duration {
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
    rate.mean.saturating_mul(ahead) / rate.slots.max(1)
}
