//! Log lines by which a task that ran twice over a change of owner can be explained.

use std::time::Duration;

use plantainlever::job::StepSpec;

use super::rig::{Fleet, Rig, TICK, listing, spec, step};
use crate::telemetry::{field, lines_of_event, log_lines_of};

/// Length of the run of a task, longer than any wait in these tests.
const RUN_TIME: Duration = Duration::from_secs(60);

fn number(line: &str, key: &str) -> u64 {
    field(line, key).parse().unwrap()
}

fn of_worker<'a>(lines: &'a [String], worker: &str) -> &'a str {
    let found: Vec<&String> = lines.iter().filter(|line| field(line, "worker") == worker).collect();
    assert_eq!(found.len(), 1, "{worker}: {lines:?}");
    found[0]
}

/// Returns the named runs of a line as (run, incarnation), each with the task that it belongs to removed.
fn named_runs(line: &str, key: &str) -> Vec<String> {
    let named = field(line, key).split(',');
    named.map(|run| run.split_once(':').unwrap().1.to_owned()).collect()
}

/// Guards against a second start whose cause can't be found in the logs: which worker and incarnation the row named,
/// and whether a list, another incarnation, another worker at its address or the lapse of the leases released it.
#[test]
fn each_way_to_release_a_recorded_run_is_logged() {
    let mut rig = Rig::new(Fleet::new(4, 4_000));
    let id = rig.submit(7, spec(vec![step(16, 1_000)]));
    rig.fleet.durations.insert(id, RUN_TIME);
    rig.run(Duration::from_secs(1));
    assert_eq!(rig.starts_of(id).len(), 16);
    for index in 4..8 {
        rig.fleet.add(listing(index, 4_000));
    }
    let now = rig.fleet.now;
    rig.fleet.get(0).restart(now);
    rig.fleet.get(1).is_cut = true;
    rig.fleet.get(2).runs.pop_first();
    rig.fleet.get(3).is_replaced = true;
    rig.fleet.get(3).runs.clear();
    let lines = log_lines_of(|| {
        rig.take_over(now + Duration::from_secs(8));
        // The tasks of the workers that restarted are suspects, and are tried one after the other.
        rig.run(Duration::from_secs(40));
    });
    rig.assert_no_breach();

    let released = lines_of_event(&lines, "P0669");
    assert_eq!(released.len(), 3, "{released:?}");
    let restarted = of_worker(&released, "w0");
    assert_eq!(field(restarted, "cause"), "other-incarnation");
    assert_eq!((field(restarted, "answering"), field(restarted, "epoch")), ("2", "2"));
    assert_eq!(named_runs(restarted, "recorded"), vec!["1:1"; 4]);
    assert_eq!(number(restarted, "tasks"), 4);
    let not_listed = of_worker(&released, "w2");
    assert_eq!(field(not_listed, "cause"), "not-listed");
    assert_eq!((field(not_listed, "answering"), number(not_listed, "tasks")), ("1", 1));
    let replaced = of_worker(&released, "w3");
    assert_eq!(field(replaced, "cause"), "replaced");
    assert_eq!((field(replaced, "answering"), number(replaced, "tasks")), ("-", 4));

    let adopted = lines_of_event(&lines, "P0670");
    assert_eq!(adopted.len(), 1, "{adopted:?}");
    let adopted = of_worker(&adopted, "w2");
    assert_eq!((field(adopted, "answering"), number(adopted, "runs")), ("1", 3));
    assert_eq!(named_runs(adopted, "adopted"), vec!["1"; 3]);

    let lapsed = lines_of_event(&lines, "P0645");
    assert_eq!(lapsed.len(), 1, "{lapsed:?}");
    let lapsed = of_worker(&lapsed, "w1");
    assert_eq!((field(lapsed, "from"), number(lapsed, "tasks")), ("ownership-lease", 4));
    assert_eq!(named_runs(lapsed, "recorded"), vec!["1:1"; 4]);
    assert!(number(lapsed, "lapsed_ms_ago") <= 40, "{lapsed}");
    assert!((8_000..=8_040).contains(&number(lapsed, "claimed_ms_ago")), "{lapsed}");

    let starts: Vec<_> = rig.starts_of(id).split_off(16);
    let logged = lines_of_event(&lines, "P0671");
    assert_eq!(starts.len(), 13);
    for (task, run, worker) in starts {
        let task = task.to_string();
        let line = logged.iter().find(|line| field(line, "task") == task).unwrap();
        assert_eq!((number(line, "run"), number(line, "after")), (u64::from(run), 1));
        assert_eq!((field(line, "worker"), field(line, "epoch")), (worker.as_str(), "2"));
        let incarnation = if worker.as_str() == "w0" { "2" } else { "1" };
        assert_eq!(field(line, "incarnation"), incarnation);
    }
}

/// Guards against a lapse whose end can't be computed again: the heartbeat of the previous owner named the worker.
#[test]
fn a_lapse_by_the_heartbeat_of_the_previous_owner_is_logged_as_such() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(8, 1_000)]));
    rig.fleet.durations.insert(id, RUN_TIME);
    rig.run(Duration::from_secs(1));
    rig.fleet.get(1).is_cut = true;
    rig.take_over(rig.fleet.now + Duration::from_secs(8));
    rig.run(Duration::from_secs(2));
    let lines = log_lines_of(|| {
        rig.take_over(rig.fleet.now + Duration::from_secs(30));
        rig.run(Duration::from_secs(8));
    });
    let lapsed = lines_of_event(&lines, "P0645");
    let lapsed = of_worker(&lapsed, "w1");
    assert_eq!((field(lapsed, "from"), field(lapsed, "epoch")), ("heartbeat-suspects", "3"));
}

/// Guards against a late start whose cause can't be found in the logs: the end of a lease, or a wait for room after it.
#[test]
fn a_late_start_is_logged_with_its_waits() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(8, 1_000)]));
    rig.fleet.durations.insert(id, RUN_TIME);
    rig.run(Duration::from_secs(1));
    rig.fleet.get(1).is_cut = true;
    let lines = log_lines_of(|| {
        rig.run(Duration::from_secs(12));
        rig.fleet.add(listing(2, 4_000));
        rig.run(Duration::from_secs(2));
    });
    let lapsed = lines_of_event(&lines, "P0613");
    assert_eq!(lapsed.len(), 4, "{lapsed:?}");
    let started = lines_of_event(&lines, "P0671");
    assert_eq!(started.len(), 4, "{started:?}");
    for (lapsed, started) in lapsed.iter().zip(&started) {
        let (answered, waited) = (number(lapsed, "answered_ms_ago"), number(started, "waited_ms"));
        let total = answered + waited;
        // The worker last answered up to a second before the cut.
        assert!((12_000..=14_000).contains(&total), "{lapsed}\n{started}");
        assert!(waited >= 3_000, "{started}");
    }
}

/// Guards against a service that waits for a late start beside free workers without a line that says so.
#[test]
fn a_wait_for_a_late_start_is_logged_with_its_cause() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    rig.run(Duration::from_secs(1));
    rig.fleet.get(0).start_delay = Some(RUN_TIME);
    rig.submit(7, spec(vec![StepSpec { is_long_running: true, ..step(1, 1_000) }]));
    rig.run(TICK * 3);
    rig.fleet.add(listing(1, 4_000));
    rig.owner.on_domains_out([rig.fleet.get(0).listing.domain.clone()].into());
    let lines = log_lines_of(|| {
        rig.run(Duration::from_secs(4));
        rig.owner.log_long_waits(rig.fleet.now);
    });
    let waiting = lines_of_event(&lines, "P0618");
    assert_eq!(waiting.len(), 1, "{waiting:?}");
    assert!(waiting[0].contains("passes={LateStart: "), "{}", waiting[0]);
}

/// Guards against an owner whose last lease on a silent worker can't be told from its lines.
#[test]
fn a_silent_worker_is_logged_with_its_newest_lease() {
    let mut rig = Rig::new(Fleet::new(1, 4_000));
    let id = rig.submit(7, spec(vec![step(1, 1_000)]));
    rig.fleet.durations.insert(id, RUN_TIME);
    rig.run(Duration::from_secs(1));
    rig.fleet.get(0).is_cut = true;
    let lines = log_lines_of(|| rig.run(Duration::from_secs(2)));
    let silent = lines_of_event(&lines, "P0621");
    let silent = of_worker(&silent, "w0");
    assert_eq!((field(silent, "incarnation"), field(silent, "epoch")), ("1", "1"));
    let granted_ms_ago = number(silent, "granted_ms_ago");
    let lapsed_in_ms = number(silent, "lapsed_in_ms");
    // A lease of 5 s lapses 1.025 * 5 s + 0.3 s after it was granted; the clocks of the test count whole milliseconds.
    assert!(granted_ms_ago > 0, "{silent}");
    assert!((5_420..=5_425).contains(&(granted_ms_ago + lapsed_in_ms)), "{silent}");
}

/// Guards against a run that goes on beside the one on another worker without a line that names both.
#[test]
fn an_unwanted_run_is_logged_with_the_worker_of_the_other_run() {
    let mut rig = Rig::new(Fleet::new(2, 4_000));
    let id = rig.submit(7, spec(vec![step(1, 4_000)]));
    rig.fleet.durations.insert(id, RUN_TIME);
    rig.run(Duration::from_secs(1));
    let (task, _, used) = rig.starts_of(id)[0].clone();
    let other = if used.as_str() == "w0" { 1 } else { 0 };
    let copy = rig.fleet.workers[&used].runs[&task].clone();
    rig.fleet.get(other).runs.insert(task, copy);
    let lines = log_lines_of(|| rig.run(Duration::from_secs(2)));
    let unwanted = lines_of_event(&lines, "P0615");
    let unwanted = of_worker(&unwanted, &format!("w{other}"));
    assert_eq!(field(unwanted, "also_on"), used.as_str());
    assert_eq!((field(unwanted, "incarnation"), field(unwanted, "last_run")), ("1", "1"));
}

/// Guards against a log that takes the processor from the takeover that it describes: hundreds of tasks are released,
/// adopted and started at once.
#[test]
fn the_lines_of_a_takeover_are_bounded() {
    const TASKS: usize = 640;
    const WORKERS: u32 = 40;
    let mut rig = Rig::new(Fleet::new(WORKERS, 4_000));
    let id = rig.submit(7, spec(vec![step(TASKS as u32, 250)]));
    rig.fleet.durations.insert(id, RUN_TIME);
    let first = log_lines_of(|| rig.run(Duration::from_secs(4)));
    assert_eq!(rig.starts_of(id).len(), TASKS);
    assert_starts(&first, TASKS, 10);
    for index in 0..WORKERS / 2 {
        rig.fleet.get(index).runs.clear();
    }
    let now = rig.fleet.now;
    let lines = log_lines_of(|| {
        rig.take_over(now + Duration::from_secs(8));
        rig.run(Duration::from_secs(4));
    });
    rig.assert_no_breach();
    let restarts = rig.starts_of(id).len() - TASKS;
    assert_eq!(restarts, TASKS / 2);
    assert_starts(&lines, restarts, 50);
    for (event, runs, named) in [("P0669", "tasks", "recorded"), ("P0670", "runs", "adopted")] {
        let lines = lines_of_event(&lines, event);
        assert_eq!(lines.len(), WORKERS as usize / 2);
        for line in lines {
            assert_eq!(number(&line, runs), 16);
            assert_eq!(named_runs(&line, named).len(), 8);
        }
    }
}

/// Asserts that the lines cover `starts` starts, at most `limit` of them in each period with one, and count the others.
fn assert_starts(lines: &[String], starts: usize, limit: usize) {
    let left_out = lines_of_event(lines, "P0673");
    let is_within = |line: &String| (1..=limit as u64).contains(&number(line, "logged"));
    assert!(!left_out.is_empty() && left_out.iter().all(is_within), "{left_out:?}");
    let sum: u64 = left_out.iter().map(|line| number(line, "left_out")).sum();
    let logged = lines_of_event(lines, "P0671").len();
    assert_eq!(logged + sum as usize, starts);
    assert!(logged <= limit * 2, "{logged}");
}
