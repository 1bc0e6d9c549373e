//! Group commit, backoff and the retry budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arbtest::arbtest;
use plantainlever::clock::{Clock, SystemClock};
use plantainlever::local::{History, table::MemoryTable};
use plantainlever::platform::PlatformError;
use plantainlever::platform::group_commit::CommitFailure;
use plantainlever::platform::table::{CommitResult, Condition, Table, Transaction, Write};
use plantainlever::policy::retry::{Backoff, RetryBudget};
use plantainlever_test_support::fault::{Faults, FaultyTable};
use serde_json::json;

use super::{InProcess, TIMEOUT, absent, committed, effects, put, threaded, wait_until};

/// Guards against a commit that is reported as failed, or applied twice, because its answer was lost.
#[test]
fn lost_answer_after_commit_is_reconciled() {
    let t = InProcess::new();
    t.faults.lose_answers(1);
    let reply = t.commits("p1").submit(&put("op1", "k", vec![absent("k")]), t.deadline());
    assert_eq!(reply, Ok(committed(1)));
    assert_eq!(effects(t.table.history()), ["op1"]);
}

/// Guards against a claim of failure while the outcome is open, and of an open outcome that can be learned.
#[test]
fn outcome_is_unknown_only_while_the_table_is_silent() {
    let t = InProcess::new();
    let commits = t.commits("p1");
    let txn = put("op1", "k", vec![absent("k")]);
    t.faults.lose_answers(u32::MAX);
    let lost = commits.submit(&txn, t.deadline());
    assert!(
        matches!(lost, Err(CommitFailure::Unknown { ref operation, .. }) if operation == "op1")
    );
    t.faults.lose_answers(0);
    assert_eq!(commits.submit(&txn, t.deadline()), Ok(committed(1)));
    assert_eq!(effects(t.table.history()), ["op1"]);
}

/// Guards against a lost request that takes effect after its submitter was told that it had none, and against an id
/// that cannot be used again after that.
#[test]
fn request_without_effect_is_forbidden_and_can_be_repeated() {
    let t = InProcess::new();
    let commits = t.commits("p1");
    let txn = put("op1", "k", vec![absent("k")]);
    t.faults.lose_requests(1);
    // The deadline leaves no time for a retry, only for the question.
    let reply = commits.submit(&txn, t.clock.now() + Duration::from_millis(500));
    assert!(matches!(reply, Err(CommitFailure::NotCommitted { .. })), "{reply:?}");
    assert_eq!(t.table.commit(&txn), Ok(CommitResult::Conflict { failed: Vec::new() }));
    assert_eq!(commits.submit(&txn, t.deadline()), Ok(committed(1)));
    assert_eq!(effects(t.table.history()), ["op1"]);
}

/// Guards against endless attempts, and against an open outcome where no byte was sent.
#[test]
fn store_down_is_reported_as_not_committed_in_time() {
    let t = InProcess::new();
    t.faults.set_down(true);
    let begin = t.clock.now();
    let reply = t.commits("p1").submit(&put("op1", "k", Vec::new()), t.deadline());
    let cause = PlatformError::Unreachable {
        service: "table service",
        address: "in process".to_owned(),
        cause: "switched off".to_owned(),
    };
    assert_eq!(reply, Err(CommitFailure::NotCommitted { cause }));
    assert!(t.clock.now() - begin <= Duration::from_secs(5));
    assert_eq!(effects(t.table.history()), Vec::<String>::new());
}

/// A merged write that is held back at the table, so that what is submitted meanwhile forms the next one.
struct Merging {
    table: MemoryTable,
    faults: Faults,
    faulty: Arc<dyn Table>,
}

fn merging() -> Merging {
    let table = MemoryTable::new(History::default());
    let faults = Faults::default();
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let inner = Arc::new(table.clone());
    let faulty = Arc::new(FaultyTable::new(inner, faults.clone(), clock, TIMEOUT));
    Merging { table, faults, faulty }
}

/// Submits a first transaction, then all others while the first is held, and returns the results of the others.
fn submit_together(
    m: &Merging,
    txns: &[Transaction],
    release: impl FnOnce(),
) -> Vec<Result<CommitResult, CommitFailure>> {
    let commits = threaded(Arc::clone(&m.faulty), 1_000);
    let deadline = Instant::now() + Duration::from_secs(15);
    m.faults.set_held(true);
    let replies = std::thread::scope(|scope| {
        let first = scope.spawn(|| commits.submit(&put("first", "first", Vec::new()), deadline));
        wait_until("the first write", || m.faults.waiting() == 1);
        let commits = &commits;
        let submit = |txn| scope.spawn(move || commits.submit(txn, deadline));
        let others: Vec<_> = txns.iter().map(submit).collect();
        wait_until("all submissions", || commits.waiting() == txns.len() + 1);
        release();
        m.faults.set_held(false);
        let first = first.join().expect("the submitter does not panic");
        assert!(first.is_ok(), "{first:?}");
        let join = |it: std::thread::ScopedJoinHandle<_>| it.join().expect("it does not panic");
        others.into_iter().map(join).collect()
    });
    commits.close();
    replies
}

/// Guards against conflicts that fail their neighbours, and against one write per transaction.
#[test]
fn group_commit_fails_only_the_conflicting_members() {
    let m = merging();
    m.table.commit(&put("held", "taken", Vec::new())).unwrap();
    let txns: Vec<_> = (0..8)
        .map(|number| {
            let key = format!("k{number}");
            let other = if number % 3 == 0 { "taken" } else { "free" };
            put(&format!("op{number}"), &key, vec![absent(&key), absent(other)])
        })
        .collect();
    let replies = submit_together(&m, &txns, || {});
    let lost = Ok(CommitResult::Conflict { failed: vec!["taken".to_owned()] });
    let won = Ok(committed(3));
    let expected =
        [0, 1, 2, 3, 4, 5, 6, 7].map(|number| if number % 3 == 0 { &lost } else { &won }.clone());
    assert_eq!(replies, expected);
    // The seeding write, the first one, the conflict, and the members without it.
    assert_eq!(m.table.history().snapshot().len(), 4);
}

/// Guards against lost, repeated or wrongly reported transactions under overlap, conflicts and lost answers.
#[test]
fn every_submitter_learns_what_its_own_transaction_did() {
    arbtest(|u| {
        let m = merging();
        let mut txns = Vec::new();
        for number in 0..u.int_in_range(2..=10)? {
            let key = format!("k{}", u.int_in_range(0..=4)?);
            let other = format!("k{}", u.int_in_range(0..=4)?);
            let condition = match u.int_in_range(0..=2)? {
                0 => absent(&other),
                1 => Condition::AtRevision { key: other, revision: 1 },
                _ => absent("never"),
            };
            txns.push(put(&format!("op{number}"), &key, vec![condition]));
        }
        let (requests, answers) = (u.int_in_range(0..=2)?, u.int_in_range(0..=2)?);
        let replies = submit_together(&m, &txns, || {
            m.faults.lose_requests(requests);
            m.faults.lose_answers(answers);
        });
        let effects = effects(m.table.history());
        for (txn, reply) in txns.iter().zip(replies) {
            let times = effects.iter().filter(|operation| **operation == txn.operation).count();
            match reply {
                Ok(CommitResult::Committed { .. }) => assert_eq!(times, 1, "{txn:?}"),
                Ok(CommitResult::Conflict { failed }) => {
                    assert_eq!(
                        (times, &failed[..]),
                        (0, &[txn.conditions[0].key().to_owned()][..])
                    );
                }
                Err(failure) => panic!("the table answers, but {txn:?} got {failure}"),
            }
        }
        Ok(())
    })
    .budget_ms(3_000);
}

/// Guards against a repeated submission that commits twice because its first write had another id.
#[test]
fn repeated_submission_gets_the_first_result() {
    let t = InProcess::new();
    let commits = t.commits("p1");
    let txn = put("op1", "k", Vec::new());
    assert_eq!(commits.submit(&txn, t.deadline()), Ok(committed(1)));
    assert_eq!(commits.submit(&txn, t.deadline()), Ok(committed(1)));
    commits.clone().close();
    assert_eq!(effects(t.table.history()), ["op1"]);
}

/// Guards against submitters that wait for ever at a thread that has ended, and against lost work at the stop.
#[test]
fn close_commits_what_waits_and_refuses_the_rest() {
    let m = merging();
    let commits = threaded(Arc::clone(&m.faulty), 1_000);
    let deadline = Instant::now() + Duration::from_secs(15);
    commits.submit(&put("op1", "k", Vec::new()), deadline).unwrap();
    commits.clone().close();
    let late = commits.submit(&put("op2", "k", Vec::new()), deadline);
    assert_eq!(late, Err(CommitFailure::Closed));
    assert_eq!(effects(m.table.history()), ["op1"]);
}

/// Guards against a caller that can go on without the result, but is held up by a table that does not answer.
#[test]
fn impatient_submitter_leaves_at_its_deadline() {
    let m = merging();
    let commits = threaded(Arc::clone(&m.faulty), 1_000);
    m.faults.set_held(true);
    let txn = put("op1", "k", vec![absent("k")]);
    let soon = Instant::now() + Duration::from_millis(50);
    assert_eq!(commits.submit_until(&txn, soon), Err(CommitFailure::Pending));
    // Another transaction waits behind the first one and is withdrawn.
    let soon = Instant::now() + Duration::from_millis(50);
    let behind = commits.submit(&put("op2", "k", Vec::new()), soon);
    assert_eq!(behind, Err(CommitFailure::Expired));
    m.faults.set_held(false);
    let later = Instant::now() + Duration::from_secs(15);
    assert_eq!(commits.submit(&txn, later), Ok(committed(1)));
    commits.close();
    assert_eq!(effects(m.table.history()), ["op1"]);
}

/// Guards against writes above the share of one process, and against a group commit that does not join. Prints the
/// measured ratio.
#[test]
fn writes_stay_below_the_rate_under_many_small_transactions() {
    const WRITES_PER_SECOND: u32 = 50;
    const SUBMITTERS: u64 = 40;
    const PER_SUBMITTER: u64 = 15;
    const PERIOD: Duration = Duration::from_millis(200);
    let m = merging();
    let commits = threaded(Arc::clone(&m.faulty), WRITES_PER_SECOND);
    let begin = Instant::now();
    let waited_us = AtomicU64::new(0);
    let submit_all = |submitter: u64| {
        let start = begin + PERIOD.mul_f64(submitter as f64 / SUBMITTERS as f64);
        for number in 0..PER_SUBMITTER {
            let at = start + PERIOD * u32::try_from(number).unwrap();
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let id = format!("op{submitter}-{number}");
            let sent = Instant::now();
            commits.submit(&put(&id, &id, vec![absent(&id)]), sent + TIMEOUT * 10).unwrap();
            let waited = u64::try_from(sent.elapsed().as_micros()).unwrap();
            waited_us.fetch_add(waited, Ordering::Relaxed);
        }
    };
    std::thread::scope(|scope| {
        let submit_all = &submit_all;
        for submitter in 0..SUBMITTERS {
            scope.spawn(move || submit_all(submitter));
        }
    });
    let seconds = begin.elapsed().as_secs_f64();
    commits.close();
    let transactions = SUBMITTERS * PER_SUBMITTER;
    let writes = m.table.history().snapshot().len() as u64;
    println!(
        "{:.0} transactions/s, {:.1} writes/s, {:.2} transactions per write, mean wait {} us",
        transactions as f64 / seconds,
        writes as f64 / seconds,
        transactions as f64 / writes as f64,
        waited_us.into_inner() / transactions,
    );
    assert_eq!(effects(m.table.history()).len() as u64, transactions);
    assert!(writes as f64 <= seconds * f64::from(WRITES_PER_SECOND) + 1.0, "{writes} in {seconds}");
    assert!(transactions >= 2 * writes, "{transactions} transactions took {writes} writes");
}

/// Guards against retries that multiply the load of a failing service.
#[test]
fn retry_budget_keeps_retries_at_a_tenth() {
    let mut budget = RetryBudget::new(10, 10);
    let mut retries = 0;
    for attempts in 1..=10_000_u32 {
        budget.record_attempt();
        // Everything fails, and every failure asks for retries until the budget refuses.
        while budget.try_retry() {
            retries += 1;
        }
        assert!(retries * 10 <= attempts, "{retries} retries of {attempts} attempts");
    }
    assert_eq!(retries, 1_000);
    let quiet = (0..100_000).fold(RetryBudget::new(10, 10), |mut budget, _| {
        budget.record_attempt();
        budget
    });
    let burst = std::iter::repeat(()).scan(quiet, |budget, ()| budget.try_retry().then_some(()));
    assert_eq!(burst.count(), 10);
}

/// Guards against a retry past its deadline, and against delays that grow without a bound.
#[test]
fn backoff_doubles_to_its_cap_and_keeps_the_deadline() {
    let ms = Duration::from_millis;
    let now = Instant::now();
    let mut backoff = Backoff::new(ms(10), ms(50));
    let mut next = |deadline| backoff.next_delay(now, now + deadline, 1.0);
    assert_eq!([(); 4].map(|()| next(ms(1_000))), [10, 20, 40, 50].map(|it| Some(ms(it))));
    assert_eq!(next(ms(50)), None);
    assert_eq!(backoff.retries(), 4);
    assert_eq!(backoff.next_delay(now, now + ms(50), 0.5), Some(ms(25)));
}

/// Guards against a merged write whose order of members matters.
#[test]
fn overlapping_transactions_are_never_merged() {
    let m = merging();
    let delete = Write::Delete { key: "k".to_owned() };
    let txns = [
        put("op1", "k", Vec::new()),
        Transaction { operation: "op2".to_owned(), conditions: vec![], writes: vec![delete] },
        put("op3", "other", vec![absent("k")]),
    ];
    submit_together(&m, &txns, || {});
    for (_, entry) in m.table.history().snapshot() {
        let plantainlever::local::Entry::Transaction { transaction, .. } = entry else { continue };
        assert_eq!(transaction.writes.len(), 1, "{}", json!(transaction));
    }
}
