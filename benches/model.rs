//! A queueing model of one domain in simulated time.
//!
//! It models the decisions and not a cluster: arrivals and service times are generated from a seed, a policy chooses,
//! and the model counts the outcomes. Policy and baseline get the same arrivals and service times.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use plantainlever::catalogue::Class;
use plantainlever::policy::admission::{AdmissionQueues, ServiceRate};
use plantainlever::policy::routing::{self, TargetLoad};

/// Requests that an executor runs at the same time.
pub const SLOTS: u32 = 8;

/// Deterministic random number generator: splitmix64 with the state as its seed.
#[derive(Clone)]
pub struct Random(pub u64);

impl Random {
    /// Returns the next number, uniform over all values.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from 0 to 1, without 0.
    fn unit(&mut self) -> f64 {
        ((self.next() >> 11) as f64 + 1.0) / (1_u64 << 53) as f64
    }

    /// Returns an exponentially distributed time in microseconds.
    pub fn exponential_us(&mut self, mean_us: f64) -> u64 {
        (-self.unit().ln() * mean_us) as u64
    }
}

/// Generates the arrivals of a run: time of arrival and service time, in microseconds.
pub fn arrivals(seed: u64, count: usize, gap_us: f64, service_us: f64) -> Vec<(u64, u64)> {
    let mut random = Random(seed);
    let mut now = 0;
    let mut next = || {
        now += random.exponential_us(gap_us);
        // A quarter of the service time is fixed, because every request has a minimum cost.
        (now, (service_us * 0.25) as u64 + random.exponential_us(service_us * 0.75))
    };
    (0..count).map(|_| next()).collect()
}

/// Generates `count` requests as pairs of arrival time and service time, both in microseconds, for 65 executors with 8
/// slots each. `load` is the share of the executors' total capacity that the requests use; a request takes 10 ms on
/// average.
pub fn routing_arrivals(load: f64, count: usize) -> Vec<(u64, u64)> {
    arrivals(1, count, 10_000.0 / (65.0 * f64::from(SLOTS) * load), 10_000.0)
}

/// Returns the value at a quantile. Sorts the list.
pub fn quantile(values: &mut [u64], quantile: f64) -> u64 {
    values.sort_unstable();
    let index = (values.len() as f64 * quantile) as usize;
    values[index.min(values.len() - 1)]
}

/// Figures of a routing run.
pub struct RoutingResult {
    /// 99th percentile of the time from arrival to answer, in microseconds.
    pub p99_us: u64,
    /// Largest number of concurrent requests on one executor.
    pub most_in_flight: u32,
}

/// Method of choosing a target.
#[derive(Clone, Copy, PartialEq)]
pub enum Choice {
    /// The routing policy under test.
    Policy,
    /// Random among all executors; a request waits at its executor.
    Random,
    /// Random among the executors with a free slot.
    RandomFree,
}

#[derive(Clone, Copy)]
struct Executor {
    in_flight: u32,
    latency: Duration,
    slowdown: u64,
}

/// Simulates requests on executors of which the first is slower by the factor `slowdown`.
pub fn route(
    arrivals: &[(u64, u64)],
    executors: usize,
    slowdown: u64,
    choice: Choice,
) -> RoutingResult {
    let fresh = Executor { in_flight: 0, latency: Duration::ZERO, slowdown: 1 };
    let mut state = vec![fresh; executors];
    state[0].slowdown = slowdown;
    let mut draws = Random(7);
    let mut ends: BinaryHeap<Reverse<(u64, usize, u64)>> = BinaryHeap::new();
    // One common queue, or one per executor if the target is chosen before the wait.
    let queues = if choice == Choice::Random { executors } else { 1 };
    let mut waiting: Vec<VecDeque<(u64, u64)>> = vec![VecDeque::new(); queues];
    let mut times = Vec::with_capacity(arrivals.len());
    let mut most_in_flight = 0;
    let mut index = 0;
    while index < arrivals.len() || !ends.is_empty() {
        let arrives = arrivals.get(index).map_or(u64::MAX, |(at, _)| *at);
        let ended = ends.peek().map_or(u64::MAX, |Reverse((at, _, _))| *at);
        let now = arrives.min(ended);
        let queue = if ended <= arrives {
            let Some(Reverse((_, executor_index, took))) = ends.pop() else { break };
            state[executor_index].in_flight -= 1;
            let measured = Duration::from_micros(took);
            state[executor_index].latency =
                routing::average(state[executor_index].latency, measured);
            executor_index % queues
        } else {
            let queue = (draws.next() % queues as u64) as usize;
            waiting[queue].push_back(arrivals[index]);
            index += 1;
            queue
        };
        while let Some((arrived, service)) = waiting[queue].front().copied() {
            let free = || (state[queue].in_flight < SLOTS).then_some(queue);
            let chosen = match choice {
                Choice::Random => free(),
                _ => choose(&state, &mut draws, choice),
            };
            let Some(executor_index) = chosen else { break };
            waiting[queue].pop_front();
            let took = service * state[executor_index].slowdown;
            state[executor_index].in_flight += 1;
            most_in_flight = most_in_flight.max(state[executor_index].in_flight);
            ends.push(Reverse((now + took, executor_index, took)));
            times.push(now + took - arrived);
        }
    }
    RoutingResult { p99_us: quantile(&mut times, 0.99), most_in_flight }
}

fn choose(state: &[Executor], draws: &mut Random, choice: Choice) -> Option<usize> {
    if choice == Choice::RandomFree {
        let free: Vec<usize> = (0..state.len())
            .filter(|executor_index| state[*executor_index].in_flight < SLOTS)
            .collect();
        let draw = draws.next() % free.len().max(1) as u64;
        return free.get(draw as usize).copied();
    }
    let load = |executor: &Executor| TargetLoad {
        in_flight: executor.in_flight,
        reported: 0,
        slots: SLOTS,
        latency: executor.latency,
    };
    let loads: Vec<TargetLoad> = state.iter().map(load).collect();
    routing::choose(&loads, [draws.next(), draws.next()])
}

/// Figures of an admission run.
pub struct AdmissionResult {
    /// Requests answered within their deadline.
    pub good: usize,
    /// Admitted requests that were answered late or dropped from the queue.
    pub broken: usize,
    /// Requests refused on arrival.
    pub refused: usize,
    /// Duration of the run in microseconds.
    pub span_us: u64,
}

/// Simulates requests with a deadline on `slots` slots. Without `admission`, every request waits in a plain queue.
pub fn admit(
    arrivals: &[(u64, u64)],
    slots: u32,
    deadline_us: u64,
    admission: bool,
) -> AdmissionResult {
    let origin = Instant::now();
    let at = |us: u64| origin + Duration::from_micros(us);
    let mut queue = AdmissionQueues::new(if admission { 1024 } else { usize::MAX });
    let mut open: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, u64, u64)>> = BinaryHeap::new();
    let (mut busy, mut mean) = (0, Duration::ZERO);
    let mut result = AdmissionResult { good: 0, broken: 0, refused: 0, span_us: 0 };
    let mut index = 0;
    while index < arrivals.len() || !ends.is_empty() {
        let arrives = arrivals.get(index).map_or(u64::MAX, |(at, _)| *at);
        let ended = ends.peek().map_or(u64::MAX, |Reverse((at, _, _))| *at);
        let now = arrives.min(ended);
        result.span_us = now;
        if ended <= arrives {
            if let Some(Reverse((_, arrived, took))) = ends.pop() {
                busy -= 1;
                mean = routing::average(mean, Duration::from_micros(took));
                let in_time = now - arrived <= deadline_us;
                *(if in_time { &mut result.good } else { &mut result.broken }) += 1;
            }
        } else {
            let ticket = index as u64;
            let (arrived, service) = arrivals[index];
            index += 1;
            // A mean of zero makes every estimated wait zero, so that every request is admitted.
            let mean = if admission && busy == slots { mean } else { Duration::ZERO };
            let deadline = if admission { at(arrived + deadline_us) } else { at(u64::MAX / 4) };
            let rate = ServiceRate { slots, mean };
            let class = Class::LatencyCritical;
            match queue.try_enqueue("s", ticket, class, deadline, at(now), rate) {
                Ok(_) => drop(open.insert(ticket, (arrived, service))),
                Err(_) => result.refused += 1,
            }
        }
        if admission {
            for late in queue.remove_late("s", at(now), mean) {
                open.remove(&late);
                result.broken += 1;
            }
        }
        while busy < slots {
            let Some((arrived, service)) = queue.next("s").and_then(|t| open.remove(&t)) else {
                break;
            };
            busy += 1;
            ends.push(Reverse((now + service, arrived, service)));
        }
    }
    result
}
