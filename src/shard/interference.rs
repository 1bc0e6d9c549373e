//! Interference control: keeps serving tasks within their tail target beside best-effort tasks, which use leftover
//! processors.
//!
//! How much a best-effort task slows a serving one differs by pair of images, and a serving task's own load swings
//! within seconds; both show only in the reported tails. The tail is modelled as that of a queue, `floor / (1 - u)`, so
//! a report gives the utilization `u` of the serving task. Best-effort neighbours multiply `u` by `1 + pressure *
//! share`, where the share is the part of the worker's processors that they use. The pressure of a pair of images is
//! learned from reports between which the share of one image changed and the others' did not. In simulated days of load
//! a pair has a pressure of 2 to 3 or nearly none, so most best-effort tasks find a worker where they cost nothing.
//!
//! The cost of a best-effort task is the expected number of serving tasks that it pushes over their target. It is
//! placed where the unused processors less its weighted cost are highest, and runs at the highest CPU limit at which
//! its cost stays below its value. A serving task that its own load alone pushes over the target adds no cost, because
//! slowing its neighbours would not help it.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::job::JobTaskId;

use super::worker::{Phase, Run, Worker};

/// Cost up to which a best-effort task may run at full speed, as the expected number of serving tasks that it pushes
/// over their target. A serving task over its target counts four times; in its time, a best-effort task earns about 0.4
/// of what that costs.
const BEST_EFFORT_VALUE: f64 = 0.5;
/// Scale of the uncertainty of a utilization, from the noise of a half-second report and the swings of the serving
/// task's load until the next one. Within this distance of the target's utilization, the task is about as likely to be
/// over its target as below it.
const UTILIZATION_NOISE: f64 = 0.045;
/// Time over the target after which all best-effort neighbours are halted; a serving task may stay over it for some
/// seconds.
const HALT_AFTER: Duration = Duration::from_millis(1_200);
/// CPU limits of best-effort tasks in percent, in the order in which they are tried.
const THROTTLE_PERCENTS: [u8; 4] = [100, 60, 30, 0];
/// Time that a report covers. The throttles of a worker are not changed again until this and `throttle_delay` have
/// passed since the last change, unless all best-effort tasks must be halted.
pub const REPORT_WINDOW: Duration = Duration::from_millis(500);

/// Pressure that is assumed for a pair of images without observations.
const PRIOR_PRESSURE: f64 = 1.5;
/// Weight of [`PRIOR_PRESSURE`] in squared shares: an observed change by a tenth of a worker weighs 0.01.
const PRIOR_WEIGHT: f64 = 0.008;
/// Upper bound of a learned pressure.
const MAX_PRESSURE: f64 = 8.0;
/// Smallest change of an image's share of a worker that is learned from; smaller ones are noise.
const MIN_SHARE_CHANGE: f64 = 0.03;
/// Fraction of the total change of shares that must come from one image, so that its effect can be told from the
/// others'.
const MIN_DOMINANT_FRACTION: f64 = 0.75;
/// Utilization above which a tail says little about the utilization, because the queue is nearly full. Two successive
/// reports are ignored if both are above it.
const SATURATED_UTILIZATION: f64 = 0.93;
/// Factor by which each new observation reduces the weight of the older ones: pressures change within seconds.
const OBSERVATION_DECAY: f64 = 0.97;
/// Ratio of the floor to the target that is assumed until a lower tail is observed.
const INITIAL_FLOOR_RATIO: f64 = 0.25;

/// Number that stands for the name of an image, because names are expensive to compare. Numbers are not reused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ImageId(u32);

/// Learned pressures of the images, shared by all workers of a shard.
#[derive(Debug, Default)]
pub struct Pressures {
    /// Images by name.
    images: BTreeMap<String, ImageId>,
    next_image: u32,
    /// Estimates by serving and best-effort image.
    pairs: BTreeMap<(ImageId, ImageId), PressureEstimate>,
    /// Lowest tail seen by serving image, in milliseconds.
    floors: BTreeMap<ImageId, f64>,
    /// Number of estimates of the interference on a worker.
    estimates: Cell<u64>,
}

/// Sums of a regression through the origin of the change of the logarithm of the utilization on the change of the
/// share.
#[derive(Clone, Copy, Debug)]
struct PressureEstimate {
    product: f64,
    square: f64,
}

impl PressureEstimate {
    fn new() -> Self {
        Self { product: PRIOR_PRESSURE * PRIOR_WEIGHT, square: PRIOR_WEIGHT }
    }

    fn add(&mut self, share_change: f64, effect: f64) {
        self.product = self.product * OBSERVATION_DECAY + share_change * effect;
        self.square = self.square * OBSERVATION_DECAY + share_change * share_change;
    }

    fn pressure(&self) -> f64 {
        (self.product / self.square).clamp(0.0, MAX_PRESSURE)
    }
}

/// State of a serving task and of its neighbours at its last report.
#[derive(Clone, Debug)]
pub struct InterferenceSample {
    utilization: f64,
    /// Share of the worker that each best-effort image used.
    shares: Rc<BTreeMap<ImageId, f64>>,
}

/// Interference of the best-effort tasks of a worker with one serving task.
#[derive(Clone, Debug)]
struct ServingInterference {
    image: Option<ImageId>,
    /// Utilization that the task's own load causes.
    own_utilization: f64,
    /// Factor by which the best-effort neighbours are expected to raise it.
    best_effort_factor: f64,
    /// Utilization at which the tail equals the target.
    utilization_at_target: f64,
}

/// Interference with all serving tasks of a worker.
#[derive(Clone, Debug)]
pub struct WorkerInterference {
    /// Processors of the worker in thousandths of a core.
    capacity: f64,
    serving: Vec<ServingInterference>,
}

/// Change of the throttle of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ThrottleChange {
    /// Task of the throttled run.
    pub task: JobTaskId,
    /// New limit, in percent of the processors that the task asks for.
    pub percent: u8,
}

impl Pressures {
    /// Returns the number of an image.
    pub fn image(&mut self, name: &str) -> ImageId {
        if let Some(image) = self.images.get(name) {
            return *image;
        }
        // A name that was removed gets a new number, and is learned again.
        evict_if_full(&mut self.images, &name.to_owned(), MAX_IMAGES);
        let image = ImageId(self.next_image);
        self.next_image += 1;
        self.images.insert(name.to_owned(), image);
        image
    }

    fn pressure(&self, serving: &Run, best_effort: Option<ImageId>) -> f64 {
        self.pressure_of_images(serving.image, best_effort)
    }

    fn pressure_of_images(&self, serving: Option<ImageId>, best_effort: Option<ImageId>) -> f64 {
        let estimate = serving.zip(best_effort).and_then(|pair| self.pairs.get(&pair));
        estimate.map_or(PRIOR_PRESSURE, PressureEstimate::pressure)
    }

    fn floor(&self, serving: &Run) -> f64 {
        let target = serving.tail_target_ms.unwrap_or(1).max(1) as f64;
        let seen = serving.image.and_then(|image| self.floors.get(&image)).copied();
        seen.unwrap_or(f64::INFINITY).min(target * INITIAL_FLOOR_RATIO)
    }

    /// Utilization at which the tail equals the target.
    fn utilization_at_target(&self, serving: &Run) -> f64 {
        let target = serving.tail_target_ms.unwrap_or(1).max(1) as f64;
        1.0 - self.floor(serving) / target
    }

    fn utilization(&self, serving: &Run) -> f64 {
        let tail = (serving.load as f64).max(0.1);
        (1.0 - self.floor(serving) / tail).clamp(0.0, 0.999)
    }

    /// Returns the factor by which the best-effort neighbours raised the utilization in the last report.
    fn factor_at_report<'a>(
        &self,
        serving: &Run,
        best_effort: impl IntoIterator<Item = &'a Run>,
        capacity: f64,
    ) -> f64 {
        let pressures =
            best_effort.into_iter().map(|run| self.pressure(serving, run.image) * run.load as f64);
        1.0 + pressures.sum::<f64>() / capacity
    }

    /// Number of estimates of the interference on a worker so far.
    #[must_use]
    pub fn estimate_count(&self) -> u64 {
        self.estimates.get()
    }

    /// Computes the interference on a worker, for several calls of [`Self::cost_with`].
    #[must_use]
    pub fn worker_interference(&self, worker: &Worker) -> WorkerInterference {
        self.estimates.update(|estimates| estimates + 1);
        let capacity = worker.listing.capacity.cpu_millis.max(1) as f64;
        let best_effort: Vec<&Run> =
            worker.runs.values().filter(|run| run.leftover_cpu > 0).collect();
        let serving = worker.runs.values().filter(|run| run.tail_target_ms.is_some());
        let serving = serving.map(|serving| {
            // Tasks that started or sped up after the report are not in it yet, so count each at what it may use now.
            let mut expected_factor = 1.0;
            for run in &best_effort {
                let cpu = expected_cpu(run).max(run.load as f64);
                expected_factor += self.pressure(serving, run.image) * cpu / capacity;
            }
            let reported_factor =
                self.factor_at_report(serving, best_effort.iter().copied(), capacity);
            ServingInterference {
                image: serving.image,
                own_utilization: self.utilization(serving) / reported_factor,
                best_effort_factor: expected_factor,
                utilization_at_target: self.utilization_at_target(serving),
            }
        });
        WorkerInterference { capacity, serving: serving.collect() }
    }

    /// Relative cost of a further best-effort task on a worker: its cost divided by its value; it must not be placed
    /// there if this is above 1.0. 0.0 for a worker without serving tasks.
    #[must_use]
    pub fn cost_with(
        &self,
        interference: &WorkerInterference,
        image: Option<ImageId>,
        cpu_millis: u64,
    ) -> f64 {
        let share = cpu_millis as f64 / interference.capacity;
        let mut cost = 0.0;
        for serving in &interference.serving {
            let added = self.pressure_of_images(serving.image, image) * share;
            cost += risk(
                serving.utilization_at_target,
                serving.own_utilization * (serving.best_effort_factor + added),
            ) - risk(
                serving.utilization_at_target,
                serving.own_utilization * serving.best_effort_factor,
            );
        }
        cost / BEST_EFFORT_VALUE
    }

    /// Learns from a report whose loads the worker's runs already contain.
    pub fn learn(&mut self, worker: &mut Worker) {
        let mut shares = None;
        for serving in worker.runs.values_mut() {
            if serving.tail_target_ms.is_none()
                || serving.phase != Phase::Active
                || serving.load == 0
            {
                continue;
            }
            self.record_floor(serving);
            let sample = InterferenceSample {
                utilization: self.utilization(serving),
                shares: Rc::clone(shares.get_or_insert_with(|| Rc::new(worker.shares.clone()))),
            };
            if let (Some(image), Some(before)) = (serving.image, serving.last_sample.take()) {
                self.learn_pressure(image, &before, &sample);
            }
            serving.last_sample = Some(sample);
        }
    }

    fn record_floor(&mut self, serving: &Run) {
        let Some(image) = serving.image else { return };
        evict_if_full(&mut self.floors, &image, MAX_IMAGES);
        let floor = self.floors.entry(image).or_insert(f64::INFINITY);
        *floor = floor.min(serving.load as f64);
    }

    /// Updates the pressure of the image whose share has changed, if the change of utilization can be attributed to one
    /// image.
    fn learn_pressure(
        &mut self,
        serving: ImageId,
        before: &InterferenceSample,
        after: &InterferenceSample,
    ) {
        let share_of = |sample: &InterferenceSample, image: &ImageId| {
            sample.shares.get(image).copied().unwrap_or(0.0)
        };
        let mut changes: Vec<(ImageId, f64)> = after
            .shares
            .iter()
            .map(|(image, share)| (*image, share - share_of(before, image)))
            .collect();
        let ended = before.shares.iter().filter(|(image, _)| !after.shares.contains_key(image));
        changes.extend(ended.map(|(image, share)| (*image, -share)));
        let total: f64 = changes.iter().map(|(_, change)| change.abs()).sum();
        let largest = changes.iter().max_by(|a, b| a.1.abs().total_cmp(&b.1.abs()));
        let Some((image, change)) = largest else { return };
        if change.abs() < MIN_SHARE_CHANGE || change.abs() < total * MIN_DOMINANT_FRACTION {
            return;
        }
        if before.utilization.max(after.utilization) > SATURATED_UTILIZATION
            && before.utilization.min(after.utilization) > SATURATED_UTILIZATION
        {
            return;
        }
        let effect =
            after.utilization.clamp(0.05, 0.95).ln() - before.utilization.clamp(0.05, 0.95).ln();
        let pair = (serving, *image);
        evict_if_full(&mut self.pairs, &pair, MAX_PAIRS);
        self.pairs.entry(pair).or_insert_with(PressureEstimate::new).add(*change, effect);
    }

    /// Adjusts the throttles of a worker's best-effort tasks after a report, and returns the changes to send to it.
    pub fn adjust_throttles(
        &self,
        worker: &mut Worker,
        now: Duration,
        throttle_delay: Duration,
    ) -> Vec<ThrottleChange> {
        let worst_tail = worst_tail_percent(worker);
        if worst_tail.is_some_and(|tail| tail >= 100) {
            worker.over_target_since.get_or_insert(now);
        } else {
            worker.over_target_since = None;
        }
        let must_halt =
            worker.over_target_since.is_some_and(|at| now.saturating_sub(at) >= HALT_AFTER);
        if !must_halt
            && now.saturating_sub(worker.last_throttle_change) < REPORT_WINDOW + throttle_delay
        {
            return Vec::new();
        }
        let changes = self.wanted_throttles(worker, must_halt);
        if !changes.is_empty() {
            worker.last_throttle_change = now;
        }
        for change in &changes {
            if let Some(run) = worker.runs.get_mut(&change.task) {
                run.cpu_percent = change.percent;
                run.throttle_changed_at = now;
            }
        }
        changes
    }

    /// Chooses the throttles of a worker's best-effort tasks: one task after the other, those with the least total
    /// pressure on the serving tasks first, each at the highest CPU limit at which its cost is not above its value.
    fn wanted_throttles<'a>(&self, worker: &'a Worker, must_halt: bool) -> Vec<ThrottleChange> {
        let capacity = worker.listing.capacity.cpu_millis.max(1) as f64;
        let is_active = |run: &Run| run.phase == Phase::Active;
        let serving: Vec<&Run> = worker
            .runs
            .values()
            .filter(|run| run.tail_target_ms.is_some() && is_active(run) && run.load > 0)
            .collect();
        if must_halt || serving.is_empty() {
            let percent = if must_halt { 0 } else { 100 };
            let changed = worker.runs.iter().filter(|(_, run)| {
                run.leftover_cpu > 0 && is_active(run) && run.cpu_percent != percent
            });
            return changed.map(|(task, _)| ThrottleChange { task: *task, percent }).collect();
        }
        // With the pressures on the serving tasks, in their order, and the total.
        let with_pressures = |(task, run): (&JobTaskId, &'a Run)| {
            let pressures: Vec<f64> =
                serving.iter().map(|serving| self.pressure(serving, run.image)).collect();
            let total = pressures.iter().sum::<f64>() * run.leftover_cpu as f64;
            (total, *task, run, pressures)
        };
        let mut best_effort: Vec<_> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.leftover_cpu > 0 && is_active(run))
            .map(with_pressures)
            .collect();
        best_effort.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Utilization of each serving task without best-effort neighbours. The factors by which these raise it start at
        // 1.
        let own: Vec<f64> = serving
            .iter()
            .map(|task| {
                let neighbours = best_effort.iter().map(|(_, _, run, _)| *run);
                self.utilization(task) / self.factor_at_report(task, neighbours, capacity)
            })
            .collect();
        let mut factors = vec![1.0; serving.len()];
        let limits: Vec<f64> = serving.iter().map(|s| self.utilization_at_target(s)).collect();
        let mut changes = Vec::new();
        for (_, task, run, pressures) in best_effort {
            let share =
                |percent: u8| run.leftover_cpu as f64 / capacity * f64::from(percent) / 100.0;
            let is_worthwhile = |percent: &u8| {
                let cost: f64 = limits
                    .iter()
                    .zip(own.iter().zip(&factors).zip(&pressures))
                    .map(|(limit, ((own, factor), pressure))| {
                        risk(*limit, own * (factor + pressure * share(*percent)))
                            - risk(*limit, own * factor)
                    })
                    .sum();
                cost <= BEST_EFFORT_VALUE * f64::from(*percent) / 100.0
            };
            let percent = THROTTLE_PERCENTS.into_iter().find(is_worthwhile).unwrap_or(0);
            for (factor, pressure) in factors.iter_mut().zip(&pressures) {
                *factor += pressure * share(percent);
            }
            if percent != run.cpu_percent {
                changes.push(ThrottleChange { task, percent });
            }
        }
        changes
    }
}

/// Updates the moving averages of the shares of the worker that the best-effort images use, from the last update up to
/// `now`. Due before a change of the active runs or of their throttles, and before the averages are used.
pub fn update_shares(worker: &mut Worker, now: Duration) {
    let elapsed = now.saturating_sub(worker.shares_updated);
    if elapsed.is_zero() {
        return;
    }
    worker.shares_updated = now;
    let capacity = worker.listing.capacity.cpu_millis.max(1) as f64;
    let kept = (-elapsed.as_secs_f64() / REPORT_WINDOW.as_secs_f64()).exp();
    worker.shares.retain(|_, share| {
        *share *= kept;
        *share > MIN_SHARE
    });
    for best_effort in
        worker.runs.values().filter(|run| run.leftover_cpu > 0 && run.phase == Phase::Active)
    {
        if let Some(image) = best_effort.image {
            *worker.shares.entry(image).or_default() +=
                (1.0 - kept) * expected_cpu(best_effort) / capacity;
        }
    }
}

/// Average share below which an image is removed.
const MIN_SHARE: f64 = 0.0005;

/// Probability that a serving task is over its target, if its tail equals the target at utilization `limit`.
fn risk(limit: f64, utilization: f64) -> f64 {
    1.0 / (1.0 + ((limit - utilization) / UTILIZATION_NOISE).exp())
}

/// Bound on the images that are kept; a removed one is learned again within seconds.
const MAX_IMAGES: usize = 256;

/// Bound on the pairs of images that are kept.
const MAX_PAIRS: usize = 16_384;

/// Removes an entry if `key` would be added to a full map.
fn evict_if_full<K: Ord, V>(map: &mut BTreeMap<K, V>, key: &K, most: usize) {
    if map.len() >= most && !map.contains_key(key) {
        map.pop_first();
    }
}

/// Processors in thousandths of a core that a best-effort task uses under its throttle, if the worker has them.
fn expected_cpu(best_effort: &Run) -> f64 {
    best_effort.leftover_cpu as f64 * f64::from(best_effort.cpu_percent) / 100.0
}

/// Highest tail of the active serving tasks of a worker in percent of their targets; `None` without serving tasks.
#[must_use]
pub fn worst_tail_percent(worker: &Worker) -> Option<u64> {
    let serving = worker.runs.values().filter(|run| run.phase == Phase::Active);
    serving.filter_map(|run| Some(run.load * 100 / run.tail_target_ms?.max(1))).max()
}
