//! Decisions of the oracle, which knows the true slowdowns, sizes and tails.

use std::collections::BTreeMap;

use plantainlever::policy::placement::PendingTask;

use super::{Policy, Simulation, worker_name};

/// Tail, as a share of the target, up to which the oracle loads a worker. It knows the exact tail, so it needs no
/// margin.
const MAX_TAIL: f64 = 1.0;

impl Simulation {
    /// Chooses, among the workers that stay within their target, the one on which the task causes the least slowdown
    /// compared with the average task.
    pub(super) fn choose_by_oracle(
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
            if self.world.tail(number, &with_task, second) > MAX_TAIL {
                continue;
            }
            let cost = self.relative_slowdown(entry, number, second);
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Throttles the tasks that cause the most slowdown, exactly as far as needed.
    pub(super) fn control_by_oracle(&mut self, second: u64) {
        for running in self.running.values_mut() {
            running.percent = 100.0;
        }
        let used = self.used_at_full_speed();
        for (number, on_worker) in used.iter().enumerate() {
            let Some(service) = self.world.hosts[number].service else { continue };
            let mut on_worker = on_worker.clone();
            let mut by_slowdown: Vec<usize> = on_worker.keys().copied().collect();
            by_slowdown.sort_by(|a, b| {
                let slowdown = |entry: &usize| self.world.slowdown(*entry, service, second);
                slowdown(b).total_cmp(&slowdown(a))
            });
            for entry in by_slowdown {
                self.throttle_entry(number, entry, &mut on_worker, second);
            }
        }
    }

    /// Throttles an entry to the largest percentage at which the worker stays within its target.
    fn throttle_entry(
        &mut self,
        number: usize,
        entry: usize,
        on_worker: &mut BTreeMap<usize, f64>,
        second: u64,
    ) {
        let full = on_worker.get(&entry).copied().unwrap_or_default();
        for percent in (0..=20).rev().map(|step| f64::from(step) * 5.0) {
            on_worker.insert(entry, full * percent / 100.0);
            if self.world.tail(number, on_worker, second) <= MAX_TAIL || percent == 0.0 {
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

    fn relative_slowdown(&self, entry: usize, number: usize, second: u64) -> f64 {
        let Some(service) = self.world.hosts[number].service else { return 0.0 };
        let slowdown = |entry: usize| {
            self.world.slowdown(entry, service, second) * self.world.entries[entry].cores
        };
        let count = self.world.entries.len();
        slowdown(entry) - (0..count).map(slowdown).sum::<f64>() / count as f64
    }
}
