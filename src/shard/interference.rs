//! Keeps serving tasks within their tail target beside tasks that use leftover processors.
//!
//! Load: how much a best-effort task disturbs a serving one differs by pair of images, and a serving task's own load
//! swings within seconds; both are seen only in the reported tails. A tail behaves like that of a queue, `floor / (1 -
//! u)`, so a report gives the utilization `u` that the task feels. Neighbours multiply it by `1 + pressure * share`,
//! where the share is the part of the worker's processors that they use. The pressure of a pair is learned from reports
//! between which the share of one image has changed and the others' have not. In played days a pair presses by 2 to 3
//! or hardly at all, so most best-effort tasks find a worker where they cost nothing.
//!
//! A best-effort task costs the expected number of serving tasks that it pushes over their target. It is placed where
//! it costs least, and it works at the highest share at which it costs less than it is worth. A serving task that is
//! over its target by its own load costs nothing, since slowing its neighbours would not help it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::job::JobTaskId;

use super::worker::{Phase, Run, Worker};

/// Serving tasks over their target that one best-effort task at full speed is worth. A serving task that is pushed over
/// its target counts four times, and a best-effort task earns about as much in its time as 0.4 of that.
const WORTH: f64 = 0.5;
/// Utilizations within this of the target's are about as likely to be over it as not: noise of a half-second report and
/// swings of the serving task's load until the next one.
const SPREAD: f64 = 0.045;
/// Time over the target after which every best-effort neighbour is halted; the limit is some seconds.
const HALT_AFTER: Duration = Duration::from_millis(1_200);
/// Paces that are tried, in percent, the highest first.
const THROTTLE_PERCENTS: [u8; 4] = [100, 60, 30, 0];
/// Reports cover half a second, and a throttle takes effect after `throttle_delay`: no second step before both have
/// passed.
pub const REPORT_WINDOW: Duration = Duration::from_millis(500);

/// Pressure of a pair that has not been observed.
const UNKNOWN_PRESSURE: f64 = 1.5;
/// Weight of that assumption, in squared shares: a change by a tenth of a worker weighs 0.01.
const UNKNOWN_WEIGHT: f64 = 0.008;
/// Largest pressure that is believed.
const MAX_PRESSURE: f64 = 8.0;
/// Changes of an image's share of a worker below this are noise.
const SMALLEST_SIGNAL: f64 = 0.03;
/// Part of a change of shares that must be of one image, so that its effect can be told from the others'.
const DOMINANT: f64 = 0.75;
/// A queue that is this full reports tails that say little about the utilization.
const SATURATED: f64 = 0.93;
/// Share of the older observations that is kept with each new one: pressures change within seconds.
const KEPT: f64 = 0.97;
/// Ratio of target to floor that is assumed until a lower tail was seen.
const FLOOR_OF_TARGET: f64 = 0.25;

/// Learned pressures, shared by all workers of a shard.
#[derive(Debug, Default)]
pub struct Pressures {
    /// Observations by serving and best-effort image.
    pairs: BTreeMap<Rc<str>, BTreeMap<Rc<str>, Observed>>,
    /// Lowest tail seen by serving image, in milliseconds.
    floors: BTreeMap<Rc<str>, f64>,
}

/// Sums of a regression through the origin of the logarithm of the utilization on the share.
#[derive(Clone, Copy, Debug)]
struct Observed {
    product: f64,
    square: f64,
}

impl Observed {
    fn new() -> Self {
        Self { product: UNKNOWN_PRESSURE * UNKNOWN_WEIGHT, square: UNKNOWN_WEIGHT }
    }

    fn add(&mut self, share: f64, effect: f64) {
        self.product = self.product * KEPT + share * effect;
        self.square = self.square * KEPT + share * share;
    }

    fn pressure(&self) -> f64 {
        (self.product / self.square).clamp(0.0, MAX_PRESSURE)
    }
}

/// What a serving task felt at its last report.
#[derive(Clone, Debug)]
pub struct Felt {
    utilization: f64,
    /// Share of the worker that each best-effort image used.
    shares: BTreeMap<Rc<str>, f64>,
}

/// What a serving task of a worker feels.
#[derive(Clone, Debug)]
struct Strained {
    image: Option<Rc<str>>,
    /// Utilization by its own load.
    own: f64,
    /// Factor by which the best-effort neighbours raise it.
    factor: f64,
    /// Utilization at which the tail is at the target.
    limit: f64,
}

/// What the serving tasks of a worker feel.
#[derive(Clone, Debug)]
pub struct Strain {
    /// Processors of the worker in thousandths of a core.
    capacity: f64,
    serving: Vec<Strained>,
}

/// A change of the throttle of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ThrottleChange {
    /// The best-effort task.
    pub task: JobTaskId,
    /// New share of its processors that it may use, in percent.
    pub percent: u8,
}

impl Pressures {
    fn pair(&self, serving: &Run, best_effort: Option<&str>) -> f64 {
        self.of_images(serving.image.as_deref(), best_effort)
    }

    fn of_images(&self, serving: Option<&str>, best_effort: Option<&str>) -> f64 {
        let (Some(serving), Some(best_effort)) = (serving, best_effort) else {
            return UNKNOWN_PRESSURE;
        };
        let observed = self.pairs.get(serving).and_then(|pairs| pairs.get(best_effort));
        observed.map_or(UNKNOWN_PRESSURE, Observed::pressure)
    }

    fn floor(&self, serving: &Run) -> f64 {
        let target = serving.tail_target_ms.unwrap_or(1).max(1) as f64;
        let seen = serving.image.as_ref().and_then(|image| self.floors.get(image)).copied();
        seen.unwrap_or(f64::INFINITY).min(target * FLOOR_OF_TARGET)
    }

    /// Utilization at which the tail is at the target.
    fn limit(&self, serving: &Run) -> f64 {
        let target = serving.tail_target_ms.unwrap_or(1).max(1) as f64;
        1.0 - self.floor(serving) / target
    }

    fn felt(&self, serving: &Run) -> f64 {
        let tail = (serving.load as f64).max(0.1);
        (1.0 - self.floor(serving) / tail).clamp(0.0, 0.999)
    }

    /// Factor by which the best-effort neighbours raised the utilization that the last report shows.
    fn factor_at_report<'a>(
        &self,
        serving: &Run,
        best_effort: impl IntoIterator<Item = &'a Run>,
        capacity: f64,
    ) -> f64 {
        let pressed = best_effort
            .into_iter()
            .map(|run| self.pair(serving, run.image.as_deref()) * run.load as f64);
        1.0 + pressed.sum::<f64>() / capacity
    }

    /// What the serving tasks of a worker feel, for several questions about it.
    #[must_use]
    pub fn strain(&self, worker: &Worker) -> Strain {
        let capacity = worker.listing.capacity.cpu_millis.max(1) as f64;
        let best_effort: Vec<&Run> =
            worker.runs.values().filter(|run| run.leftover_cpu > 0).collect();
        let serving = worker.runs.values().filter(|run| run.tail_target_ms.is_some());
        let felt = serving.map(|serving| {
            // What was started or sped up after the report comes on top of what the report shows.
            let mut soon = 1.0;
            for run in &best_effort {
                let cpu = expected_cpu(run).max(run.load as f64);
                soon += self.pair(serving, run.image.as_deref()) * cpu / capacity;
            }
            let now = self.factor_at_report(serving, best_effort.iter().copied(), capacity);
            Strained {
                image: serving.image.clone(),
                own: self.felt(serving) / now,
                factor: soon,
                limit: self.limit(serving),
            }
        });
        Strain { capacity, serving: felt.collect() }
    }

    /// Expected number of serving tasks that a best-effort task would push over their target, in multiples of what it
    /// is worth; above 1.0 it must not go there. 0.0 for a worker without serving tasks.
    #[must_use]
    pub fn cost_with(&self, strain: &Strain, image: Option<&str>, cpu_millis: u64) -> f64 {
        let share = cpu_millis as f64 / strain.capacity;
        let mut cost = 0.0;
        for serving in &strain.serving {
            let added = self.of_images(serving.image.as_deref(), image) * share;
            cost += risk(serving.limit, serving.own * (serving.factor + added))
                - risk(serving.limit, serving.own * serving.factor);
        }
        cost / WORTH
    }

    /// Learns from a report that the worker's runs already contain.
    pub fn learn(&mut self, worker: &mut Worker) {
        let shares = worker.shares.clone();
        for serving in worker.runs.values_mut() {
            if serving.tail_target_ms.is_none()
                || serving.phase != Phase::Active
                || serving.load == 0
            {
                continue;
            }
            self.record_floor(serving);
            let felt = Felt { utilization: self.felt(serving), shares: shares.clone() };
            if let (Some(image), Some(before)) = (serving.image.clone(), serving.felt.take()) {
                self.correct(&image, &before, &felt);
            }
            serving.felt = Some(felt);
        }
    }

    fn record_floor(&mut self, serving: &Run) {
        let Some(image) = &serving.image else { return };
        make_room(&mut self.floors, image);
        let floor = self.floors.entry(Rc::clone(image)).or_insert(f64::INFINITY);
        *floor = floor.min(serving.load as f64);
    }

    /// Learns the pressure of the one image whose share has changed.
    fn correct(&mut self, serving: &Rc<str>, before: &Felt, after: &Felt) {
        let images: std::collections::BTreeSet<&Rc<str>> =
            before.shares.keys().chain(after.shares.keys()).collect();
        let share_of =
            |felt: &Felt, image: &Rc<str>| felt.shares.get(image).copied().unwrap_or(0.0);
        let changes: Vec<(Rc<str>, f64)> = images
            .into_iter()
            .map(|image| (Rc::clone(image), share_of(after, image) - share_of(before, image)))
            .collect();
        let total: f64 = changes.iter().map(|(_, change)| change.abs()).sum();
        let largest = changes.iter().max_by(|a, b| a.1.abs().total_cmp(&b.1.abs()));
        let Some((image, change)) = largest else { return };
        if change.abs() < SMALLEST_SIGNAL || change.abs() < total * DOMINANT {
            return;
        }
        if before.utilization.max(after.utilization) > SATURATED
            && before.utilization.min(after.utilization) > SATURATED
        {
            return;
        }
        let effect =
            after.utilization.clamp(0.05, 0.95).ln() - before.utilization.clamp(0.05, 0.95).ln();
        make_room(&mut self.pairs, serving);
        let pairs = self.pairs.entry(Rc::clone(serving)).or_default();
        make_room(pairs, image);
        pairs.entry(Rc::clone(image)).or_insert_with(Observed::new).add(*change, effect);
    }

    /// Judges a worker after a report and returns the changes of throttles to command.
    pub fn judge(
        &self,
        worker: &mut Worker,
        now: Duration,
        throttle_delay: Duration,
    ) -> Vec<ThrottleChange> {
        let worst = worst_tail_percent(worker);
        if worst.is_some_and(|tail| tail >= 100) {
            worker.over_target_since.get_or_insert(now);
        } else {
            worker.over_target_since = None;
        }
        let is_halted =
            worker.over_target_since.is_some_and(|at| now.saturating_sub(at) >= HALT_AFTER);
        if !is_halted && now.saturating_sub(worker.judged) < REPORT_WINDOW + throttle_delay {
            return Vec::new();
        }
        let changes = self.wanted_throttles(worker, is_halted);
        if !changes.is_empty() {
            worker.judged = now;
        }
        for change in &changes {
            if let Some(run) = worker.runs.get_mut(&change.task) {
                run.cpu_percent = change.percent;
                run.throttled_at = now;
            }
        }
        changes
    }

    /// Admits the worker's best-effort tasks one after the other, those that press least first, each at the highest
    /// share at which it costs less than it is worth.
    fn wanted_throttles(&self, worker: &Worker, is_halted: bool) -> Vec<ThrottleChange> {
        let capacity = worker.listing.capacity.cpu_millis.max(1) as f64;
        let is_active = |run: &Run| run.phase == Phase::Active;
        let serving: Vec<&Run> = worker
            .runs
            .values()
            .filter(|run| run.tail_target_ms.is_some() && is_active(run) && run.load > 0)
            .collect();
        let mut best_effort: Vec<(&JobTaskId, &Run)> =
            worker.runs.iter().filter(|(_, run)| run.leftover_cpu > 0 && is_active(run)).collect();
        // What each serving task would feel without best-effort neighbours, and the factor by which they raise it.
        let own: Vec<f64> = serving
            .iter()
            .map(|task| {
                let neighbours = best_effort.iter().map(|(_, run)| *run);
                self.felt(task) / self.factor_at_report(task, neighbours, capacity)
            })
            .collect();
        let mut factors = vec![1.0; serving.len()];
        let press = |run: &Run| -> f64 {
            let pressure =
                |task: &&Run| self.pair(task, run.image.as_deref()) * run.leftover_cpu as f64;
            serving.iter().map(pressure).sum()
        };
        best_effort.sort_by(|a, b| press(a.1).total_cmp(&press(b.1)));
        let mut changes = Vec::new();
        for (task, run) in best_effort {
            let added = |percent: u8, task: &Run| {
                let share = run.leftover_cpu as f64 / capacity * f64::from(percent) / 100.0;
                self.pair(task, run.image.as_deref()) * share
            };
            let costs_little = |percent: &u8| {
                let cost: f64 = serving
                    .iter()
                    .zip(own.iter().zip(&factors))
                    .map(|(task, (own, factor))| {
                        let limit = self.limit(task);
                        risk(limit, own * (factor + added(*percent, task)))
                            - risk(limit, own * factor)
                    })
                    .sum();
                cost <= WORTH * f64::from(*percent) / 100.0
            };
            let percent = if is_halted {
                0
            } else {
                THROTTLE_PERCENTS.into_iter().find(costs_little).unwrap_or(0)
            };
            for (task, factor) in serving.iter().zip(&mut factors) {
                *factor += added(percent, task);
            }
            if percent != run.cpu_percent {
                changes.push(ThrottleChange { task: *task, percent });
            }
        }
        changes
    }
}

/// Moves the averages of the best-effort images' shares by `elapsed` towards what their tasks use now.
pub fn age_shares(worker: &mut Worker, elapsed: Duration) {
    let capacity = worker.listing.capacity.cpu_millis.max(1) as f64;
    let kept = (-elapsed.as_secs_f64() / REPORT_WINDOW.as_secs_f64()).exp();
    worker.shares.retain(|_, share| {
        *share *= kept;
        *share > FORGOTTEN_SHARE
    });
    for best_effort in
        worker.runs.values().filter(|run| run.leftover_cpu > 0 && run.phase == Phase::Active)
    {
        if let Some(image) = &best_effort.image {
            *worker.shares.entry(Rc::clone(image)).or_default() +=
                (1.0 - kept) * expected_cpu(best_effort) / capacity;
        }
    }
}

/// Average share below which an image counts as absent.
const FORGOTTEN_SHARE: f64 = 0.0005;

/// Probability that a serving task is over its target at a utilization.
fn risk(limit: f64, utilization: f64) -> f64 {
    1.0 / (1.0 + ((limit - utilization) / SPREAD).exp())
}

/// Images that are remembered; an older one is learned again within seconds.
const MAX_IMAGES: usize = 256;

/// Forgets an image if another one is to be added to as many as are remembered.
fn make_room<T>(by_image: &mut BTreeMap<Rc<str>, T>, image: &Rc<str>) {
    if by_image.len() >= MAX_IMAGES && !by_image.contains_key(image) {
        by_image.pop_first();
    }
}

/// Processors that a best-effort task uses at its throttled share if it gets them.
fn expected_cpu(best_effort: &Run) -> f64 {
    best_effort.leftover_cpu as f64 * f64::from(best_effort.cpu_percent) / 100.0
}

/// Worst tail of the serving tasks of a worker, in percent of its target.
#[must_use]
pub fn worst_tail_percent(worker: &Worker) -> Option<u64> {
    let serving = worker.runs.values().filter(|run| run.phase == Phase::Active);
    serving.filter_map(|run| Some(run.load * 100 / run.tail_target_ms?.max(1))).max()
}
