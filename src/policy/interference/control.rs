//! Throttles and then moves batch work when a service's tail passes its target.
//!
//! A step is followed by no other one before a measurement taken after the step took effect. Without this rule the lag
//! of the measurements would cause a second and third step for what the first has already cured.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::InterferenceModel;
use crate::platform::worker::AttemptRef;

/// Share of the target above which a step is taken.
const HIGH: f64 = 1.0;

/// Predicted share of the target that a step aims at.
const AIM: f64 = 0.9;

/// Share of the target below which limits are lifted. The distance to `HIGH` keeps noise from undoing each step.
const LOW: f64 = 0.85;

/// Measurements below `LOW` in a row before limits are lifted.
const CALM_MEASUREMENTS: u32 = 2;

/// Time from a decision until the worker has applied it and a whole measurement interval can begin.
const EFFECT_DELAY: Duration = Duration::from_secs(2);

/// Time that a checkpoint and stop may take before the control goes on without them.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits in percent, from the first to the last step before eviction.
const PERCENTS: [u8; 3] = [60, 30, 10];

/// Age above which a measurement says nothing about the present.
const MAX_AGE: Duration = Duration::from_secs(30);

/// A decision about one attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Limit the processors of an attempt.
    Throttle {
        /// The attempt.
        attempt: AttemptRef,
        /// Share of its processors that it may use.
        percent: u8,
    },
    /// Ask for a checkpoint, stop the attempt and requeue the task.
    Evict {
        /// The attempt.
        attempt: AttemptRef,
    },
    /// Lift the limit of an attempt.
    Restore {
        /// The attempt.
        attempt: AttemptRef,
    },
}

/// A batch attempt next to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Neighbour<'a> {
    /// The attempt.
    pub attempt: &'a AttemptRef,
    /// Its entry.
    pub entry: &'a str,
    /// Cores that it used while the tail was measured.
    pub cores: f64,
}

/// A measurement of one worker's service and the batch attempts there now.
#[derive(Clone, Debug)]
pub struct Reading<'a> {
    /// The worker.
    pub worker: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Share of the target that the measured tail uses.
    pub tail: f64,
    /// When it was measured, at the latest.
    pub measured_at: Instant,
    /// The batch attempts.
    pub neighbours: &'a [Neighbour<'a>],
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Attempts with a limit, in percent.
    limits: BTreeMap<AttemptRef, u8>,
    /// A measurement must be younger than this to count.
    not_before: Option<Instant>,
    /// Measurements below `LOW` in a row.
    calm: u32,
    /// The newest eviction and when it was decided.
    evicting: Option<(AttemptRef, Instant)>,
}

/// Interference control of the workers of a domain.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    workers: BTreeMap<String, State>,
}

impl Controller {
    /// Decides what to do after a measurement; empty if nothing. Call it once per measurement.
    pub fn step(
        &mut self,
        reading: &Reading<'_>,
        model: &InterferenceModel,
        now: Instant,
    ) -> Vec<Action> {
        let state = self.workers.entry(reading.worker.to_owned()).or_default();
        let present = |attempt: &AttemptRef| {
            reading.neighbours.iter().any(|neighbour| neighbour.attempt == attempt)
        };
        state.limits.retain(|attempt, _| present(attempt));
        let is_evicting = state.evicting.as_ref().is_some_and(|(attempt, since)| {
            present(attempt) && now.saturating_duration_since(*since) < EVICTION_TIMEOUT
        });
        let is_early = is_evicting
            || state.not_before.is_some_and(|not_before| reading.measured_at < not_before);
        if is_early || now.saturating_duration_since(reading.measured_at) > MAX_AGE {
            return Vec::new();
        }
        let actions = if reading.tail > HIGH {
            state.calm = 0;
            state.tighten(reading, model, now)
        } else if reading.tail < LOW {
            state.calm += 1;
            state.relax(reading, model)
        } else {
            state.calm = 0;
            Vec::new()
        };
        if !actions.is_empty() {
            state.not_before = Some(now + EFFECT_DELAY);
            state.calm = 0;
        }
        actions
    }

    /// The limit of an attempt in percent; 100 if there is none.
    #[must_use]
    pub fn percent(&self, worker: &str, attempt: &AttemptRef) -> u8 {
        let state = self.workers.get(worker);
        state.and_then(|state| state.limits.get(attempt)).copied().unwrap_or(100)
    }

    /// True if the worker has limited attempts, so that adding batch work there would undo the control.
    #[must_use]
    pub fn is_limiting(&self, worker: &str) -> bool {
        self.workers.get(worker).is_some_and(|state| !state.limits.is_empty())
    }

    /// Forgets a worker that has left.
    pub fn forget_worker(&mut self, worker: &str) {
        self.workers.remove(worker);
    }
}

impl State {
    /// Takes the attempts with the largest effect first, one step each, until the prediction reaches the aim. An attempt
    /// at the last limit is evicted; one eviction per step, because a whole measurement shows whether it was enough.
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
        let mut excess = reading.tail - AIM;
        let mut actions = Vec::new();
        for (effect, neighbour) in &by_effect {
            if excess <= 0.0 {
                break;
            }
            let current = self.limits.get(neighbour.attempt).copied().unwrap_or(100);
            let Some(percent) = tighter(current, *effect, excess) else { continue };
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

    /// Lifts limits, those of the least harmful attempts first, as far as the prediction stays within the aim.
    fn relax(&mut self, reading: &Reading<'_>, model: &InterferenceModel) -> Vec<Action> {
        if self.calm < CALM_MEASUREMENTS {
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
        let mut room = AIM - reading.tail;
        let mut actions = Vec::new();
        for (effect, current, attempt) in limited {
            let Some((percent, added)) = milder(current, effect, room) else { continue };
            room -= added;
            actions.push(self.set_limit(attempt, percent));
        }
        actions
    }

    fn set_limit(&mut self, attempt: &AttemptRef, percent: u8) -> Action {
        if percent == 100 {
            self.limits.remove(attempt);
            return Action::Restore { attempt: attempt.clone() };
        }
        self.limits.insert(attempt.clone(), percent);
        Action::Throttle { attempt: attempt.clone(), percent }
    }
}

/// Share of the target that an attempt uses up now.
fn effect(service: &str, neighbour: &Neighbour<'_>, model: &InterferenceModel) -> f64 {
    model.per_core(service, neighbour.entry).mean() * neighbour.cores
}

/// The mildest limit below the current one that removes the excess, or the strictest; `None` after the last one.
fn tighter(current: u8, effect: f64, excess: f64) -> Option<u8> {
    let stricter: Vec<u8> = PERCENTS.into_iter().filter(|percent| *percent < current).collect();
    let removes =
        |percent: &u8| effect * (1.0 - f64::from(*percent) / f64::from(current)) >= excess;
    stricter.iter().copied().find(removes).or_else(|| stricter.last().copied())
}

/// The mildest limit above the current one whose added effect fits the room, with that effect.
fn milder(current: u8, effect: f64, room: f64) -> Option<(u8, f64)> {
    let milder = std::iter::once(100).chain(PERCENTS).filter(|percent| *percent > current);
    milder
        .map(|percent| (percent, effect * (f64::from(percent) / f64::from(current) - 1.0)))
        .find(|(_, added)| *added <= room)
}
