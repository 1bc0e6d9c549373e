//! Admission control: decides which requests wait for a slot and which are refused on arrival.
//!
//! A request that cannot meet its deadline only delays others, so it is refused on arrival, while the caller still
//! has time to use another process. The queue of a service is first in, first out: with an order by deadline,
//! later arrivals could overtake a request after its wait was estimated.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::catalogue::Class;

/// Multiple of the mean service time that is reserved for the execution of a request, which may take longer than the
/// mean. The deadline applies to the answer, not to the start.
const RUN_RESERVE_FACTOR: u32 = 2;

/// Current service rate, from which waits are estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRate {
    /// Slots of this process, summed over all usable targets.
    pub slots: u32,
    /// Mean time that a request occupies a slot; zero if nothing has been measured.
    pub mean: Duration,
}

/// Reason why a request is not queued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The estimated time of the answer is after the deadline.
    TooLate {
        /// Expected wait for a slot.
        wait: Duration,
    },
    /// The queue of the class is full.
    QueueFull,
    /// No target of the service is usable.
    NoTarget,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    ticket: u64,
    class: Class,
    deadline: Instant,
}

/// Outcome of an accepted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admitted {
    /// Ticket of a queued batch request that was removed to make room and that the caller must refuse.
    pub shed: Option<u64>,
}

/// The queues of all services of a process.
#[derive(Debug)]
pub struct AdmissionQueues {
    /// Maximum number of queued requests per class, and of both classes together.
    limit: usize,
    /// Requests in order of arrival by service. Invariant: no empty queue is kept.
    queues: BTreeMap<String, VecDeque<QueuedRequest>>,
    /// Number of queued requests by class.
    queued_by_class: BTreeMap<Class, usize>,
}

impl AdmissionQueues {
    /// Creates empty queues that hold at most `limit` requests in total.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, queues: BTreeMap::new(), queued_by_class: BTreeMap::new() }
    }

    /// Number of requests queued for a service.
    #[must_use]
    pub fn waiting_for(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, VecDeque::len)
    }

    /// Adds a request to the queue of its service, or refuses it.
    ///
    /// # Errors
    ///
    /// The reason of the refusal. The queues are then unchanged.
    pub fn try_enqueue(
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
        if now + wait + rate.mean * RUN_RESERVE_FACTOR > deadline {
            return Err(Refusal::TooLate { wait });
        }
        let shed = self.make_room(class)?;
        let queue = self.queues.entry(service.to_owned()).or_default();
        queue.push_back(QueuedRequest { ticket, class, deadline });
        *self.queued_by_class.entry(class).or_default() += 1;
        Ok(Admitted { shed })
    }

    /// Removes and returns the next request of a service.
    pub fn next(&mut self, service: &str) -> Option<u64> {
        let queue = self.queues.get_mut(service)?;
        let next = queue.pop_front()?;
        if queue.is_empty() {
            self.queues.remove(service);
        }
        self.decrement(next.class);
        Some(next.ticket)
    }

    /// Removes and returns the requests of a service that can no longer meet their deadlines.
    pub fn remove_late(&mut self, service: &str, now: Instant, mean: Duration) -> Vec<u64> {
        let Some(queue) = self.queues.get_mut(service) else { return Vec::new() };
        let (late, kept) = queue.drain(..).partition(|waiting| now + mean > waiting.deadline);
        let late: Vec<QueuedRequest> = late;
        *queue = Vec::into(kept);
        if queue.is_empty() {
            self.queues.remove(service);
        }
        for waiting in &late {
            self.decrement(waiting.class);
        }
        late.iter().map(|waiting| waiting.ticket).collect()
    }

    /// Removes a request whose caller no longer waits. Returns false if it was not queued.
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
            self.decrement(removed.class);
        }
        true
    }

    /// Services with queued requests.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.queues.keys().map(String::as_str)
    }

    fn decrement(&mut self, class: Class) {
        if let Some(count) = self.queued_by_class.get_mut(&class) {
            *count = count.saturating_sub(1);
        }
    }

    fn make_room(&mut self, class: Class) -> Result<Option<u64>, Refusal> {
        let count = |class| self.queued_by_class.get(&class).copied().unwrap_or(0);
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

    /// Removes and returns the batch request that arrived last, the one that has waited the shortest.
    fn shed_batch(&mut self) -> Option<u64> {
        let batch_requests = self.queues.iter().flat_map(|(service, queue)| {
            let batch = queue.iter().filter(|waiting| waiting.class == Class::Batch);
            batch.map(move |waiting| (waiting.ticket, service.clone()))
        });
        let (ticket, service) = batch_requests.max()?;
        self.remove(&service, ticket);
        Some(ticket)
    }
}

/// Expected wait of a request behind `ahead` others while all slots are in use.
#[must_use]
pub fn wait_estimate(ahead: usize, rate: ServiceRate) -> Duration {
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
    rate.mean.saturating_mul(ahead) / rate.slots.max(1)
}
