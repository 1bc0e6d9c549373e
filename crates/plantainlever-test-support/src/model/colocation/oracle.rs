//! Decisions with full knowledge of the truth.

use std::collections::BTreeMap;

use plantainlever::policy::placement::PendingTask;

use super::{Policy, Run, worker_name};

/// Share of the target up to which the oracle loads a worker. It knows the tail, so it needs no margin.
const LIMIT: f64 = 1.0;

impl Run {
    /// The worker on which the task is least harmful compared with an average task, among those that keep their target.
    pub(super) fn choose_as_oracle(
        &self,
        pending_task: &PendingTask<'_>,
        second: u64,
    ) -> Option<String> {
        debug_assert_eq!(self.policy, Policy::Oracle);
        let entry = self.world.entries.iter().position(|entry| entry.name == pending_task.entry)?;
        let used = self.used_at_full_speed();
        let mut best: Option<(f64, String)> = None;
        for (number, used) in used.iter().enumerate() {
            let name = worker_name(number);
            let worker = self.pool.worker(&name)?;
            let fits = pending_task.resources.fits_in(&worker.free());
            if !fits || pending_task.excluded.contains(&name) {
                continue;
            }
            let mut with_task = used.clone();
            *with_task.entry(entry).or_insert(0.0) += self.world.entries[entry].cores;
            if self.world.tail(number, &with_task, second) > LIMIT {
                continue;
            }
            let cost = self.harm(entry, number, second);
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Throttles the most harmful tasks exactly as far as needed.
    pub(super) fn control_as_oracle(&mut self, second: u64) {
        for running in self.running.values_mut() {
            running.percent = 100.0;
        }
        let used = self.used_at_full_speed();
        for (number, on_worker) in used.iter().enumerate() {
            let Some(service) = self.world.hosts[number].service else { continue };
            let mut on_worker = on_worker.clone();
            let mut by_harm: Vec<usize> = on_worker.keys().copied().collect();
            by_harm.sort_by(|a, b| {
                let harm = |entry: &usize| self.world.slowdown(*entry, service, second);
                harm(b).total_cmp(&harm(a))
            });
            for entry in by_harm {
                self.limit_entry(number, entry, &mut on_worker, second);
            }
        }
    }

    /// Finds the largest percentage of an entry at which the worker keeps its target.
    fn limit_entry(
        &mut self,
        number: usize,
        entry: usize,
        on_worker: &mut BTreeMap<usize, f64>,
        second: u64,
    ) {
        let full = on_worker.get(&entry).copied().unwrap_or_default();
        for percent in (0..=20).rev().map(|step| f64::from(step) * 5.0) {
            on_worker.insert(entry, full * percent / 100.0);
            if self.world.tail(number, on_worker, second) <= LIMIT || percent == 0.0 {
                let tasks = self.running.values_mut();
                for task in
                    tasks.filter(|task| task.worker == number && task.arrival.entry == entry)
                {
                    task.percent = percent;
                }
                return;
            }
        }
    }

    fn used_at_full_speed(&self) -> Vec<BTreeMap<usize, f64>> {
        let mut used = vec![BTreeMap::new(); self.world.hosts.len()];
        for running in self.running.values() {
            let entry = running.arrival.entry;
            *used[running.worker].entry(entry).or_insert(0.0) += self.world.entries[entry].cores;
        }
        used
    }

    fn harm(&self, entry: usize, number: usize, second: u64) -> f64 {
        let Some(service) = self.world.hosts[number].service else { return 0.0 };
        let harm = |entry: usize| {
            self.world.slowdown(entry, service, second) * self.world.entries[entry].cores
        };
        let count = self.world.entries.len();
        harm(entry) - (0..count).map(harm).sum::<f64>() / count as f64
    }
}
