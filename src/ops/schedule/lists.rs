//! Fills the lists of successors and rescuers with processes that answer.

use std::collections::BTreeSet;

use super::probe;
use crate::domain::ClaimantClass;
use crate::domain::hold::{HoldRow, MAX_RESCUERS, MAX_SUCCESSORS};
use crate::ops::Context;

/// Returns the row with updated lists. Processes already named stay as long as they answer.
pub(super) fn with_updated_lists(cx: &Context, domain: &str, row: &HoldRow) -> HoldRow {
    let directory = cx.directory.snapshot();
    let mut local = BTreeSet::new();
    let mut remote = BTreeSet::new();
    for member in directory.values().filter(|member| member.process != cx.process) {
        let side = if member.domain == domain { &mut local } else { &mut remote };
        side.insert(member.process.clone());
    }
    let mut next = row.clone();
    next.successors = choose(cx, domain, &row.successors, &local, MAX_SUCCESSORS);
    next.rescuers = choose(cx, domain, &row.rescuers, &remote, MAX_RESCUERS);
    next
}

fn choose(
    cx: &Context,
    domain: &str,
    named: &BTreeSet<String>,
    known: &BTreeSet<String>,
    max: usize,
) -> BTreeSet<String> {
    let alive = |asked: &BTreeSet<String>| {
        probe::query_promises(cx, domain, probe::PROBE_EPOCH, ClaimantClass::Unlisted, asked)
    };
    let mut chosen = alive(&named.intersection(known).cloned().collect());
    if chosen.len() < max {
        let fresh = alive(&known.difference(named).cloned().collect());
        chosen.extend(fresh.into_iter().take(max - chosen.len()));
    }
    chosen
}
