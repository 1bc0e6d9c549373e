//! Keeps the lists of successors and rescuers short and alive.

use std::collections::BTreeSet;

use super::probe;
use crate::domain::ClaimantClass;
use crate::domain::hold::{HoldRow, MAX_RESCUERS, MAX_SUCCESSORS};
use crate::ops::Context;

/// The row with the lists that it should have. Named processes stay as long as they answer.
pub(super) fn with_lists(cx: &Context, domain: &str, row: &HoldRow) -> HoldRow {
    let directory = cx.directory.snapshot();
    let mut home = BTreeSet::new();
    let mut away = BTreeSet::new();
    for member in directory.values().filter(|member| member.process != cx.process) {
        let side = if member.domain == domain { &mut home } else { &mut away };
        side.insert(member.process.clone());
    }
    let mut next = row.clone();
    next.successors = choose(cx, domain, &row.successors, &home, MAX_SUCCESSORS);
    next.rescuers = choose(cx, domain, &row.rescuers, &away, MAX_RESCUERS);
    next
}

fn choose(
    cx: &Context,
    domain: &str,
    named: &BTreeSet<String>,
    known: &BTreeSet<String>,
    most: usize,
) -> BTreeSet<String> {
    let alive = |asked: &BTreeSet<String>| {
        probe::ask(cx, domain, probe::PROBE_EPOCH, ClaimantClass::Unlisted, asked)
    };
    let mut chosen = alive(&named.intersection(known).cloned().collect());
    if chosen.len() < most {
        let fresh = alive(&known.difference(named).cloned().collect());
        chosen.extend(fresh.into_iter().take(most - chosen.len()));
    }
    chosen
}
