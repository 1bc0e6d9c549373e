//! Submission of a task.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::error::TaskError;
use super::{ApiRequest, ApiResponse, find, read, view};
use crate::catalogue::{Document, Entry};
use crate::domain::DomainState;
use crate::ops::Context;
use crate::platform::table::{
    CommitResult, Condition, OperationQuery, OperationStatus, ReadRequest, Transaction, Write,
};
use crate::task::{TaskId, TaskRow, TaskState, row};

/// Header that makes a repeated submission return the same task.
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Delays before each query for the outcome of a transaction that got no response.
const OUTCOME_QUERY_DELAYS: [Duration; 5] = [
    Duration::from_millis(0),
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1_500),
];

/// Row key of the record of a submission with an idempotency key.
pub(crate) fn submission_key(id: &TaskId) -> String {
    format!("submission/{id}")
}

/// Request body of a submission.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Submission {
    entry: String,
    #[serde(default)]
    args: Map<String, Value>,
}

/// Record of the submission that an idempotency key was used for.
#[derive(Debug, Deserialize, Serialize)]
struct SubmissionRow {
    key: String,
    entry: String,
    args: Map<String, Value>,
}

pub(super) fn submit(cx: &Context, req: &ApiRequest<'_>) -> Result<ApiResponse, TaskError> {
    let submission: Submission = serde_json::from_slice(req.body)
        .map_err(|error| TaskError::BadBody { cause: error.to_string() })?;
    let key = req.header(IDEMPOTENCY_KEY).map(checked_key).transpose()?;
    let entry = entry(cx, &submission.entry)?;
    let row = new_row(cx, &submission, &entry, key);
    let txn = transaction(&row, &submission, key);
    match commit(cx, &txn)? {
        CommitResult::Committed { .. } => Ok(view(202, &row)),
        CommitResult::Conflict { .. } => on_reused_key(cx, &row.id, &submission, key),
    }
}

fn checked_key(key: &str) -> Result<&str, TaskError> {
    let visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !visible {
        return Err(TaskError::BadKey { bytes: key.len() });
    }
    Ok(key)
}

/// Returns the entry, unless the catalogue is too old to decide on it. A submission can't be served without the table in
/// any case.
fn entry(cx: &Context, name: &str) -> Result<Entry, TaskError> {
    let cache = cx.catalogue.snapshot();
    if !cache.is_fresh(cx.clock.now(), cx.cfg.timing.freshness()) {
        let cause = format!("the catalogue could not be read lately, so {name:?} may have changed");
        return Err(TaskError::StoreUnavailable { cause });
    }
    match cache.document(name) {
        Some(Document::Entry(entry)) if !entry.limits.per_task.is_zero() => Ok(entry.clone()),
        Some(_) => Err(TaskError::NotATaskEntry { entry: name.to_owned() }),
        None => Err(TaskError::UnknownEntry { entry: name.to_owned() }),
    }
}

fn new_row(cx: &Context, submission: &Submission, entry: &Entry, key: Option<&str>) -> TaskRow {
    let id = match key {
        Some(key) => format!("k-{:032x}", fnv1a(key.as_bytes())),
        // Task IDs are short, because every lease renewal sent to a worker lists the IDs of its running tasks. A
        // collision is detected, because the transaction requires the row to be absent.
        None => format!("t-{:016x}", rand::random::<u64>()),
    };
    TaskRow {
        id: TaskId::new(id),
        entry: submission.entry.clone(),
        owner: entry.owner.clone(),
        class: entry.class,
        exclusive: entry.is_exclusive(),
        priority: entry.priority,
        args: Value::Object(submission.args.clone()),
        resources: entry.limits.per_task,
        state: TaskState::Pending,
        attempt: 1,
        domain: choose_domain(cx, entry),
        worker: None,
        checkpoint: None,
        failed_on: BTreeSet::new(),
        failures: 0,
        reason: None,
        submitted_ms: cx.clock.unix_ms(),
        cancel: false,
    }
}

/// Chooses the domain of a new task: the process's own domain if it is in service and the entry allows it, else another
/// such domain. If none is in service, the task waits in an allowed one.
fn choose_domain(cx: &Context, entry: &Entry) -> String {
    let cache = cx.catalogue.snapshot();
    let own = std::iter::once(&cx.cfg.domain);
    let allowed: Vec<&String> =
        own.chain(&cx.cfg.domains).filter(|domain| entry.allows_domain(domain)).collect();
    let in_service = allowed.iter().find(|domain| cache.domain_state(domain) == DomainState::In);
    in_service.or(allowed.first()).map_or_else(|| cx.cfg.domain.clone(), |domain| (*domain).clone())
}

fn transaction(row: &TaskRow, submission: &Submission, key: Option<&str>) -> Transaction {
    let task_key = row::row_key(&row.domain, &row.id);
    let mut txn = Transaction {
        operation: format!("submit/{:032x}", rand::random::<u128>()),
        conditions: vec![Condition::Absent { key: task_key.clone() }],
        writes: vec![put(task_key, row)],
    };
    if let Some(key) = key {
        let record = submission_key(&row.id);
        txn.conditions.push(Condition::Absent { key: record.clone() });
        txn.writes.push(put(
            record,
            &SubmissionRow {
                key: key.to_owned(),
                entry: submission.entry.clone(),
                args: submission.args.clone(),
            },
        ));
    }
    txn
}

/// Handles a submission whose key was used before: returns the first task if the submissions are equal.
fn on_reused_key(
    cx: &Context,
    id: &TaskId,
    submission: &Submission,
    key: Option<&str>,
) -> Result<ApiResponse, TaskError> {
    let record = submission_key(id);
    let response = read(cx, &ReadRequest { keys: vec![record.clone()], ..ReadRequest::default() })?;
    let known = response.row(&record).and_then(|row| row.value.as_ref());
    let known: Option<SubmissionRow> = known.and_then(|value| Deserialize::deserialize(value).ok());
    let Some(known) = known else { return Err(TaskError::LostRace) };
    let same = Some(known.key.as_str()) == key
        && known.entry == submission.entry
        && known.args == submission.args;
    if !same {
        return Err(TaskError::KeyReused);
    }
    let (row, _) = find(cx, id.as_str())?;
    Ok(view(202, &row))
}

/// Commits a transaction. If the outcome is in doubt, queries the table for it.
pub(super) fn commit(cx: &Context, txn: &Transaction) -> Result<CommitResult, TaskError> {
    match cx.table.commit(txn) {
        Ok(result) => Ok(result),
        Err(error) if error.had_no_effect() => {
            Err(TaskError::StoreUnavailable { cause: error.to_string() })
        }
        Err(error) => resolve(cx, txn, &error.to_string()),
    }
}

fn resolve(cx: &Context, txn: &Transaction, cause: &str) -> Result<CommitResult, TaskError> {
    let query = OperationQuery { operation: txn.operation.clone(), forbid: true };
    for delay in OUTCOME_QUERY_DELAYS {
        cx.clock.sleep(delay);
        match cx.table.operation(&query) {
            Ok(OperationStatus::Decided { result }) => return Ok(result),
            Ok(OperationStatus::Unknown) => {
                return Err(TaskError::StoreUnavailable { cause: cause.to_owned() });
            }
            Err(_) => {}
        }
    }
    Err(TaskError::OutcomeUnknown)
}

/// Creates a write of a row. Rows hold only text, numbers and JSON values, which can always be encoded.
pub(super) fn put(key: String, value: &impl Serialize) -> Write {
    Write::Put { key, value: serde_json::to_value(value).unwrap_or_default() }
}

/// 128-bit FNV-1a. Unlike the standard library's hash, it is the same in every version of the program.
fn fnv1a(bytes: &[u8]) -> u128 {
    const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    bytes.iter().fold(OFFSET, |hash, byte| (hash ^ u128::from(*byte)).wrapping_mul(PRIME))
}
