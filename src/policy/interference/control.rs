//! Throttles batch attempts when the tail latency of a service exceeds its target, and evicts them if the tightest
//! limit is not enough.
//!
//! After each control step, measurements are ignored until one was taken after the step took effect. Measurements lag,
//! and would otherwise cause a second and third step for an excess that the first has already removed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::InterferenceModel;
use crate::platform::worker::AttemptRef;

/// Tail, as a share of the target, above which attempts are throttled.
const THROTTLE_ABOVE: f64 = 1.0;

/// Tail, as a share of the target, that the prediction of a control step must reach.
const SETPOINT: f64 = 0.9;

/// Tail, as a share of the target, below which limits are raised. The gap to `THROTTLE_ABOVE` is a hysteresis against
/// measurement noise.
const RELAX_BELOW: f64 = 0.85;

/// Consecutive measurements below `RELAX_BELOW` before limits are raised.
const RELAX_AFTER_MEASUREMENTS: u32 = 2;

/// Time from a decision until the worker has applied it and a full measurement interval can begin.
const EFFECT_DELAY: Duration = Duration::from_secs(2);

/// Time that the checkpoint and stop of an eviction may take before control steps resume.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits in percent of an attempt's processors, from the loosest to the tightest. The step after the last is eviction.
const THROTTLE_PERCENTS: [u8; 3] = [60, 30, 10];

/// Largest age of a measurement that is used.
const MAX_READING_AGE: Duration = Duration::from_secs(30);

/// Control action for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Limit the processors of an attempt.
    Throttle {
        /// Attempt to throttle.
        attempt: AttemptRef,
        /// Share of its processors that it may use, in percent.
        percent: u8,
    },
    /// Request a checkpoint, stop the attempt and requeue the task.
    Evict {
        /// Attempt to evict.
        attempt: AttemptRef,
    },
    /// Remove the limit of an attempt.
    Unthrottle {
        /// Attempt to run without a limit.
        attempt: AttemptRef,
    },
}

/// A batch attempt on the same VM as a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Neighbour<'a> {
    /// Task and attempt number.
    pub attempt: &'a AttemptRef,
    /// Name of the catalogue entry.
    pub entry: &'a str,
    /// Mean number of cores used while the tail was measured.
    pub cores: f64,
}

/// A tail measurement of the service on one worker, with the batch attempts that now run there.
#[derive(Clone, Debug)]
pub struct Reading<'a> {
    /// Name of the worker.
    pub worker: &'a str,
    /// Catalogue entry of the service.
    pub service: &'a str,
    /// Measured tail as a share of the target.
    pub tail: f64,
    /// Latest time at which the measurement can have been taken.
    pub measured_at: Instant,
    /// Batch attempts on the worker.
    pub neighbours: &'a [Neighbour<'a>],
}

#[derive(Clone, Debug, Default)]
struct WorkerState {
    /// Limits of the throttled attempts, in percent.
    limits: BTreeMap<AttemptRef, u8>,
    /// Measurements taken before this time are ignored.
    ignore_measured_before: Option<Instant>,
    /// Consecutive measurements below `RELAX_BELOW`.
    calm_measurements: u32,
    /// Attempt of the last eviction and the time of the decision.
    evicting: Option<(AttemptRef, Instant)>,
}

/// Interference control for the workers of a domain.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    workers: BTreeMap<String, WorkerState>,
}

impl Controller {
    /// Returns the actions for a measurement. Called once per measurement.
    pub fn step(
        &mut self,
        reading: &Reading<'_>,
        model: &InterferenceModel,
        now: Instant,
    ) -> Vec<Action> {
        let state = self.workers.entry(reading.worker.to_owned()).or_default();
        let is_neighbour = |attempt: &AttemptRef| {
            reading.neighbours.iter().any(|neighbour| neighbour.attempt == attempt)
        };
        state.limits.retain(|attempt, _| is_neighbour(attempt));
        let is_evicting = state.evicting.as_ref().is_some_and(|(attempt, since)| {
            is_neighbour(attempt) && now.saturating_duration_since(*since) < EVICTION_TIMEOUT
        });
        let is_early = is_evicting
            || state.ignore_measured_before.is_some_and(|earliest| reading.measured_at < earliest);
        if is_early || now.saturating_duration_since(reading.measured_at) > MAX_READING_AGE {
            return Vec::new();
        }
        let actions = if reading.tail > THROTTLE_ABOVE {
            state.calm_measurements = 0;
            state.tighten(reading, model, now)
        } else if reading.tail < RELAX_BELOW {
            state.calm_measurements += 1;
            state.relax(reading, model)
        } else {
            state.calm_measurements = 0;
            Vec::new()
        };
        if !actions.is_empty() {
            state.ignore_measured_before = Some(now + EFFECT_DELAY);
            state.calm_measurements = 0;
        }
        actions
    }

    /// The limit of an attempt in percent; 100 if there is none.
    #[must_use]
    pub fn percent(&self, worker: &str, attempt: &AttemptRef) -> u8 {
        let state = self.workers.get(worker);
        state.and_then(|state| state.limits.get(attempt)).copied().unwrap_or(100)
    }

    /// True if the worker has throttled attempts. Batch work added there would undo the control.
    #[must_use]
    pub fn is_limiting(&self, worker: &str) -> bool {
        self.workers.get(worker).is_some_and(|state| !state.limits.is_empty())
    }

    /// Discards the state of a removed worker.
    pub fn forget_worker(&mut self, worker: &str) {
        self.workers.remove(worker);
    }
}

impl WorkerState {
    /// Throttles the attempts with the largest effect first, until the prediction reaches the setpoint. If all are at
    /// the tightest limit, evicts the one with the largest effect: one per control step, because only the next
    /// measurement shows whether it was enough.
    fn tighten(
        &mut self,
        reading: &Reading<'_>,
        model: &InterferenceModel,
        now: Instant,
    ) -> Vec<Action> {
        let mut by_effect: Vec<(f64, &Neighbour<'_>)> = reading
            .neighbours
            .iter()
            .map(|neighbour| (effect(reading.service, neighbour, model), neighbour))
            .collect();
        by_effect.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.attempt.cmp(b.1.attempt)));
        let mut excess = reading.tail - SETPOINT;
        let mut actions = Vec::new();
        for (effect, neighbour) in &by_effect {
            if excess <= 0.0 {
                break;
            }
            let current = self.limits.get(neighbour.attempt).copied().unwrap_or(100);
            let Some(percent) = next_tighter_limit(current, *effect, excess) else { continue };
            excess -= effect * (1.0 - f64::from(percent) / f64::from(current));
            actions.push(self.set_limit(neighbour.attempt, percent));
        }
        if actions.is_empty()
            && let Some((_, neighbour)) = by_effect.first()
        {
            self.evicting = Some((neighbour.attempt.clone(), now));
            actions.push(Action::Evict { attempt: neighbour.attempt.clone() });
        }
        actions
    }

    /// Raises limits, those of the attempts with the smallest effect first, while the prediction stays within the
    /// setpoint.
    fn relax(&mut self, reading: &Reading<'_>, model: &InterferenceModel) -> Vec<Action> {
        if self.calm_measurements < RELAX_AFTER_MEASUREMENTS {
            return Vec::new();
        }
        let mut limited: Vec<(f64, u8, &AttemptRef)> = reading
            .neighbours
            .iter()
            .filter_map(|neighbour| {
                let percent = *self.limits.get(neighbour.attempt)?;
                Some((effect(reading.service, neighbour, model), percent, neighbour.attempt))
            })
            .collect();
        limited.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(b.2)));
        let mut margin = SETPOINT - reading.tail;
        let mut actions = Vec::new();
        for (effect, current, attempt) in limited {
            let Some((percent, added)) = next_looser_limit(current, effect, margin) else {
                continue;
            };
            margin -= added;
            actions.push(self.set_limit(attempt, percent));
        }
        actions
    }

    fn set_limit(&mut self, attempt: &AttemptRef, percent: u8) -> Action {
        if percent == 100 {
            self.limits.remove(attempt);
            return Action::Unthrottle { attempt: attempt.clone() };
        }
        self.limits.insert(attempt.clone(), percent);
        Action::Throttle { attempt: attempt.clone(), percent }
    }
}

/// Predicted contribution of an attempt to the tail, as a share of the target.
fn effect(service: &str, neighbour: &Neighbour<'_>, model: &InterferenceModel) -> f64 {
    model.per_core(service, neighbour.entry).mean() * neighbour.cores
}

/// The loosest limit below the current one that removes the excess, or else the tightest; `None` if `current` is the
/// tightest already.
fn next_tighter_limit(current: u8, effect: f64, excess: f64) -> Option<u8> {
    let lower: Vec<u8> =
        THROTTLE_PERCENTS.into_iter().filter(|percent| *percent < current).collect();
    let removes =
        |percent: &u8| effect * (1.0 - f64::from(*percent) / f64::from(current)) >= excess;
    lower.iter().copied().find(removes).or_else(|| lower.last().copied())
}

/// The loosest limit above the current one whose added effect is at most `margin`, with that effect.
fn next_looser_limit(current: u8, effect: f64, margin: f64) -> Option<(u8, f64)> {
    let higher = std::iter::once(100).chain(THROTTLE_PERCENTS).filter(|percent| *percent > current);
    higher
        .map(|percent| (percent, effect * (f64::from(percent) / f64::from(current) - 1.0)))
        .find(|(_, added)| *added <= margin)
}
