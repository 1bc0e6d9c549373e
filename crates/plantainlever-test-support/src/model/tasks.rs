//! Builders of catalogue entries, limits and waiting tasks that the models share.

use std::collections::{BTreeMap, BTreeSet};

use plantainlever::catalogue::{Class, Document, Entry, EntryLimits};
use plantainlever::policy::queue::{Limits, Waiting};
use plantainlever::task::TaskId;
use plantainlever::worker::Resources;

/// Name of the domain in models with a single domain.
pub const DOMAIN: &str = "d1";

/// Builds a catalogue entry without a limit on running tasks.
#[must_use]
pub fn entry(class: Class, per_task: Resources) -> Document {
    Document::Entry(Entry {
        owner: "team".to_owned(),
        class,
        limits: EntryLimits { per_task, max_running: None, max_attempts: 5 },
        priority: 0,
        exclusive: None,
        idempotent: None,
        p99_target_ms: None,
        domains: Vec::new(),
    })
}

/// Builds limits under which the named entries have no bound on running tasks.
#[must_use]
pub fn no_limits<'a>(entries: impl IntoIterator<Item = &'a str>) -> Limits {
    let documents: BTreeMap<String, Document> = entries
        .into_iter()
        .map(|name| (name.to_owned(), entry(Class::Batch, Resources::new(1, 1, 0))))
        .collect();
    Limits::new(&documents, DOMAIN, &BTreeSet::from([DOMAIN.to_owned()]))
}

/// Builds a waiting task that was submitted at `submitted_ms`.
#[must_use]
pub fn waiting(
    id: &str,
    entry: &str,
    class: Class,
    resources: Resources,
    submitted_ms: u64,
) -> Waiting {
    Waiting {
        id: TaskId::new(id),
        entry: entry.to_owned(),
        owner: "team".to_owned(),
        class,
        priority: 0,
        submitted_ms,
        resources,
        failed_on: BTreeSet::new(),
        last_worker: None,
    }
}
