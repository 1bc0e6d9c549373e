//! Tests of group commit, backoff and the retry budget.

use std::collections::BTreeMap;

use arbtest::arbtest;
use plantainlever::policy::retry::{Backoff, RetryBudget};

use super::*;

/// Guards against a commit that is reported as failed, or applied twice, because its answer was lost.
#[test]
fn lost_answer_after_commit_is_resolved() {
    let t = TestTable::new();
    t.faults.lose_answers(1);
    let reply = t.commits("p1").submit(&put("op1", "k", vec![absent("k")]), t.deadline());
    assert_eq!(reply, Ok(committed(1)));
    assert_eq!(effects(&t.table), ["op1"]);
}

/// Guards against a failure that is reported while the write is in doubt, and against an unknown outcome that is
/// reported although the table can resolve it.
#[test]
fn outcome_is_unknown_only_while_the_table_does_not_answer() {
    let t = TestTable::new();
    let commits = t.commits("p1");
    let txn = put("op1", "k", vec![absent("k")]);
    t.faults.lose_answers(u32::MAX);
    let lost = commits.submit(&txn, t.deadline());
    let is_own = |operation: &str| operation == "op1";
    assert!(matches!(&lost, Err(CommitFailure::Unknown { operation, .. }) if is_own(operation)));
    t.faults.lose_answers(0);
    assert_eq!(commits.submit(&txn, t.deadline()), Ok(committed(1)));
    assert_eq!(effects(&t.table), ["op1"]);
}

/// Guards against a lost request that takes effect after it was reported to have none, against an operation id that
/// cannot be submitted again after that, and against a lost answer to the forbidding query that is treated as a
/// conflict.
#[test]
fn request_without_effect_is_forbidden_and_can_be_repeated() {
    let t = TestTable::new();
    let commits = t.commits("p1");
    let txn = put("op1", "k", vec![absent("k")]);
    t.faults.lose_requests(1);
    t.faults.lose_answers(1);
    // The deadline leaves time for the query of the outcome, but not for a retry.
    let reply = commits.submit(&txn, t.clock.now() + Duration::from_millis(500));
    assert!(matches!(reply, Err(CommitFailure::NotCommitted { .. })), "{reply:?}");
    assert_eq!(t.table.commit(&txn), Ok(conflict(&[])));
    assert_eq!(commits.submit(&txn, t.deadline()), Ok(committed(1)));
    assert_eq!(effects(&t.table), ["op1"]);
}

/// Guards against attempts past the deadline, and against an unknown outcome although no byte was sent.
#[test]
fn unreachable_table_is_reported_as_not_committed_by_the_deadline() {
    let t = TestTable::new();
    t.faults.set_down(true);
    let deadline = t.deadline();
    let reply = t.commits("p1").submit(&put("op1", "k", Vec::new()), deadline);
    let failure = reply.unwrap_err().to_string();
    let cause = "table service at in process cannot be reached: switched off";
    assert_eq!(failure, format!("not committed: {cause}"));
    assert!(t.clock.now() <= deadline);
    assert!(effects(&t.table).is_empty());
}

/// Submits a first transaction, then all others while the table holds the first one, so that the others are queued
/// together and form the next writes. Returns the results of the others.
fn submit_together(
    t: &TestTable<SystemClock>,
    commits: &GroupCommit,
    txns: &[Transaction],
    release: impl FnOnce(),
) -> Vec<Result<CommitResult, CommitFailure>> {
    let deadline = Instant::now() + WAIT;
    t.faults.set_blocked(true);
    let replies = std::thread::scope(|scope| {
        let submit = |txn: Transaction| scope.spawn(move || commits.submit(&txn, deadline));
        let mut submitters = vec![submit(put("first", "first", Vec::new()))];
        wait_until("the first write", || t.faults.blocked_calls() == 1);
        for txn in txns {
            submitters.push(submit(txn.clone()));
            wait_until("the submission", || commits.waiting() == submitters.len());
        }
        release();
        t.faults.set_blocked(false);
        let replies = submitters.into_iter().map(|submitter| submitter.join());
        replies.map(|reply| reply.expect("the submitter does not panic")).collect::<Vec<_>>()
    });
    assert!(replies[0].is_ok(), "{:?}", replies[0]);
    replies[1..].to_vec()
}

/// Guards against a conflict that fails other members of its write, and against one write per transaction.
#[test]
fn group_commit_fails_only_the_conflicting_members() {
    let t = TestTable::with_clock(SystemClock);
    t.table.commit(&put("held", "taken", Vec::new())).unwrap();
    let other = |number| if number % 3 == 0 { "taken" } else { "free" };
    let txn = |number| {
        let key = format!("k{number}");
        put(&format!("op{number}"), &key, vec![absent(&key), absent(other(number))])
    };
    let commits = threaded(&t.faulty, 1_000);
    let replies = submit_together(&t, &commits, &[0, 1, 2, 3, 4, 5, 6, 7].map(txn), || {});
    let reply = |number| if number % 3 == 0 { conflict(&["taken"]) } else { committed(3) };
    assert_eq!(replies, [0, 1, 2, 3, 4, 5, 6, 7].map(|number| Ok(reply(number))));
    // The write of `taken`, the first one, the merged one with the conflict, and the members without conflict.
    assert_eq!(decided(&t.table).len(), 4);
    // The table does not know the ids of merged transactions, but their repeats get the first results.
    let repeat = |number| commits.submit(&txn(number), Instant::now() + WAIT);
    assert_eq!([3, 4].map(repeat), [3, 4].map(|number| Ok(reply(number))));
    commits.close();
}

/// Guards against members of a merged write that fail with the one whose deadline is earliest, and against a refused
/// merged write whose members are not retried separately.
#[test]
fn members_with_later_deadlines_are_retried() {
    let soon = Duration::from_millis(350);
    type Case = (fn(&Faults), Duration);
    let cases: [Case; 4] = [
        (|faults| faults.lose_requests(1), soon),
        (|faults| faults.lose_requests(u32::MAX), soon),
        (|faults| faults.lose_answers(u32::MAX), soon),
        (|faults| faults.refuse(1), WAIT),
    ];
    for (fault, deadline) in cases {
        let t = TestTable::with_clock(SystemClock);
        // At this rate the next write is sent 100 ms after the first one, which leaves time for the others to arrive.
        let commits = &threaded(&t.faulty, 10);
        commits.submit(&put("first", "first", Vec::new()), Instant::now() + WAIT).unwrap();
        fault(&t.faults);
        let submit =
            |id: &str, time| commits.submit(&put(id, id, Vec::new()), Instant::now() + time);
        let [short, long] = std::thread::scope(|scope| {
            let long = scope.spawn(|| submit("long", WAIT));
            let short = submit("short", deadline);
            t.faults.lose_requests(0);
            t.faults.lose_answers(0);
            [short, long.join().expect("the submitter does not panic")]
        });
        assert!(matches!(long, Ok(CommitResult::Committed { .. })), "{long:?}");
        let times = |id| effects(&t.table).iter().filter(|operation| *operation == id).count();
        assert_eq!(times("long"), 1);
        match short {
            // A write whose outcome is unknown may have taken effect.
            Err(CommitFailure::Unknown { .. }) => assert!(times("short") < 2),
            short => assert_eq!(times("short"), usize::from(short.is_ok()), "{short:?}"),
        }
        commits.clone().close();
    }
}

/// Guards against lost, repeated or wrongly reported transactions under overlap, conflicts and lost answers.
#[test]
fn every_submitter_gets_the_outcome_of_its_own_transaction() {
    arbtest(|u| {
        let t = TestTable::with_clock(SystemClock);
        let seeds = vec![put_value("k0", Value::Null), put_value("k1", Value::Null)];
        t.table.commit(&write("seed", seeds)).unwrap();
        let mut txns = Vec::new();
        for number in 0..u.int_in_range(2..=10)? {
            let [key, other] = [u.int_in_range(0..=4)?, u.int_in_range(0..=4)?];
            let other = format!("k{other}");
            let condition = if u.arbitrary()? { absent(&other) } else { at(&other, 1) };
            txns.push(put(&format!("op{number}"), &format!("k{key}"), vec![condition]));
        }
        let (requests, answers) = (u.int_in_range(0..=2)?, u.int_in_range(0..=2)?);
        let commits = threaded(&t.faulty, 1_000);
        let replies = submit_together(&t, &commits, &txns, || {
            t.faults.lose_requests(requests);
            t.faults.lose_answers(answers);
        });
        commits.close();
        let effects = effects(&t.table);
        let mut written = BTreeMap::from([("k0", 1), ("k1", 1)].map(|(k, r)| (k.to_owned(), r)));
        for operation in effects.iter().filter(|operation| *operation != "first") {
            let txn = txns.iter().find(|txn| txn.operation == *operation).unwrap();
            let found = written.get(txn.conditions[0].key()).copied();
            let expected =
                matches!(txn.conditions[0], Condition::AtRevision { .. }).then_some(1_u64);
            assert_eq!(found, expected, "{txn:?} committed although its condition failed");
            let Write::Put { key, .. } = &txn.writes[0] else { unreachable!("put writes") };
            written.insert(key.clone(), 2);
        }
        for (txn, reply) in txns.iter().zip(replies) {
            let times = effects.iter().filter(|operation| **operation == txn.operation).count();
            match reply {
                Ok(CommitResult::Committed { .. }) => assert_eq!(times, 1, "{txn:?}"),
                reply => {
                    assert_eq!(reply, Ok(conflict(&[txn.conditions[0].key()])));
                    assert_eq!(times, 0, "{txn:?}");
                }
            }
        }
        Ok(())
    })
    .budget_ms(3_000);
}

/// Guards against a merged write whose effect depends on the order of its members.
#[test]
fn overlapping_transactions_are_never_merged() {
    let t = TestTable::with_clock(SystemClock);
    let txns = [
        put("op1", "x", vec![absent("k")]),
        put("op2", "k", Vec::new()),
        put("op3", "y", vec![absent("k")]),
        write("op4", vec![delete("k")]),
        put("op5", "z", vec![at("k", 2)]),
    ];
    let commits = threaded(&t.faulty, 1_000);
    submit_together(&t, &commits, &txns, || {});
    commits.close();
    for (txn, _) in decided(&t.table) {
        let touched = txn.conditions.iter().map(Condition::key);
        let of_k = txn.writes.iter().filter(|it| json!(it)["key"] == "k").count();
        assert!(of_k + touched.filter(|key| *key == "k").count() < 2, "{txn:?}");
    }
}

/// Guards against submitters that wait for ever after the thread has ended, and against transactions that are lost at
/// the shutdown.
#[test]
fn close_commits_earlier_transactions_and_refuses_later_ones() {
    let t = TestTable::with_clock(SystemClock);
    let commits = threaded(&t.faulty, 1_000);
    let deadline = Instant::now() + WAIT;
    commits.submit(&put("op1", "k", Vec::new()), deadline).unwrap();
    commits.clone().close();
    let late = commits.submit(&put("op2", "k", Vec::new()), deadline);
    assert_eq!(late, Err(CommitFailure::Closed));
    assert_eq!(effects(&t.table), ["op1"]);
}

/// Guards against a caller that can continue without the result but is blocked by a table that does not answer, and
/// against a repeated submission that commits twice.
#[test]
fn submit_until_returns_at_its_deadline() {
    let t = TestTable::with_clock(SystemClock);
    let commits = threaded(&t.faulty, 1_000);
    t.faults.set_blocked(true);
    let txn = put("op1", "k", vec![absent("k")]);
    let soon = || Instant::now() + Duration::from_millis(50);
    assert_eq!(commits.submit_until(&txn, soon()), Err(CommitFailure::Pending));
    // Another transaction is queued behind the first one and is withdrawn at its deadline.
    let behind = commits.submit(&put("op2", "k", Vec::new()), soon());
    assert_eq!(behind, Err(CommitFailure::Expired));
    t.faults.set_blocked(false);
    assert_eq!(commits.submit(&txn, Instant::now() + WAIT), Ok(committed(1)));
    commits.close();
    assert_eq!(effects(&t.table), ["op1"]);
}

/// Guards against more writes than the rate limit of a process, and against group commit that does not merge. Prints
/// the measured ratio.
#[test]
fn write_rate_stays_below_its_limit_under_many_small_transactions() {
    const WRITES_PER_SECOND: u32 = 50;
    const SUBMITTERS: u32 = 40;
    const ROUNDS: u32 = 15;
    const PERIOD: Duration = Duration::from_millis(200);
    let t = TestTable::with_clock(SystemClock);
    let commits = threaded(&t.faulty, WRITES_PER_SECOND);
    let begin = Instant::now();
    let submit_all = |submitter: u32| {
        for round in 0..ROUNDS {
            let at = begin + PERIOD * round + PERIOD * submitter / SUBMITTERS;
            // Spreads the submissions of all threads evenly over each period.
            SystemClock.sleep(at.saturating_duration_since(Instant::now()));
            let id = format!("op{submitter}-{round}");
            commits.submit(&put(&id, &id, vec![absent(&id)]), Instant::now() + WAIT).unwrap();
        }
    };
    std::thread::scope(|scope| {
        for submitter in 0..SUBMITTERS {
            let submit_all = &submit_all;
            scope.spawn(move || submit_all(submitter));
        }
    });
    let seconds = begin.elapsed().as_secs_f64();
    commits.close();
    assert_eq!(effects(&t.table).len(), (SUBMITTERS * ROUNDS) as usize);
    let transactions = f64::from(SUBMITTERS * ROUNDS);
    let writes = decided(&t.table).len() as f64;
    let [per_second, writes_per_second] = [transactions, writes].map(|count| count / seconds);
    let ratio = transactions / writes;
    println!(
        "{per_second:.0} transactions/s, {writes_per_second:.1} writes/s, {ratio:.2} per write"
    );
    assert!(writes <= seconds * f64::from(WRITES_PER_SECOND) + 1.0, "{writes} in {seconds} s");
    assert!(ratio >= 2.0, "{transactions} transactions took {writes} writes");
}

/// Guards against retries that multiply the load of a failing service.
#[test]
fn retry_budget_limits_retries_to_a_tenth_of_the_attempts() {
    let mut budget = RetryBudget::new(10, 10);
    let mut retries = 0;
    for attempts in 1..=10_000_u32 {
        budget.record_attempt();
        // Each attempt fails and is retried until the budget refuses.
        while budget.try_retry() {
            retries += 1;
        }
        assert!(retries * 10 <= attempts, "{retries} retries of {attempts} attempts");
    }
    assert_eq!(retries, 1_000);
    (0..100_000).for_each(|_| budget.record_attempt());
    assert_eq!((0..100).filter(|_| budget.try_retry()).count(), 10);
}

/// Guards against a retry past the deadline, and against delays that grow without bound.
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
