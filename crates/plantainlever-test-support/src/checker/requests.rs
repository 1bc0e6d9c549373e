//! Invariants of callers' requests on executors.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use plantainlever::local::history::HistoryEvent;

use super::{Broken, CheckLimits};
use crate::caller::Record;

pub(super) fn check(history: &[(Duration, HistoryEvent)], limits: &CheckLimits) -> Vec<Broken> {
    let mut breaches = Vec::new();
    let mut keys = BTreeSet::new();
    for (_, event) in history {
        let HistoryEvent::RequestStarted { target, key, in_flight, connections, .. } = event else {
            continue;
        };
        if let Some(key) = key
            && !keys.insert(key)
        {
            breaches.push(Broken::RanTwice { key: key.clone(), target: target.clone() });
        }
        if *in_flight > limits.slots {
            breaches.push(Broken::OverSlots { target: target.clone(), in_flight: *in_flight });
        }
        if *connections > limits.connections {
            let connections = *connections;
            breaches.push(Broken::OverConnections { target: target.clone(), connections });
        }
    }
    breaches
}

pub(super) fn check_callers(
    history: &[(Duration, HistoryEvent)],
    records: &[Record],
) -> Vec<Broken> {
    let mut ran: BTreeMap<&str, &str> = BTreeMap::new();
    for (_, event) in history {
        if let HistoryEvent::RequestStarted { target, key: Some(key), .. } = event {
            ran.insert(key, target);
        }
    }
    let not_run = records.iter().filter(|record| record.is_reported_not_run());
    not_run
        .filter_map(|record| {
            let target = ran.get(record.key.as_str())?;
            Some(Broken::RanDespiteNotRun { key: record.key.clone(), target: (*target).to_owned() })
        })
        .collect()
}
