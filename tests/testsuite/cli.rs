//! Tests of the command line.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};

use plantainlever::local::server::ServerRequest;
use plantainlever::local::{JsonServer, Reply};
use plantainlever_test_support::site::SiteBuilder;
use plantainlever_test_support::wait;
use serde_json::json;

/// Exit code and output of a run of the binary.
#[derive(Debug, PartialEq)]
struct Run {
    code: i32,
    out: String,
    err: String,
}

fn run(args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_plantainlever"))
        .args(args)
        .env_remove("PLANTAINLEVER_SERVER")
        .output()
        .unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// A server that responds with the result of a function and records the requests.
struct FakeServer {
    server: JsonServer,
    seen: Arc<Mutex<Vec<ServerRequest>>>,
}

impl FakeServer {
    fn start(answer: impl Fn(&str, &str) -> Reply + Send + Sync + 'static) -> Self {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let record = Arc::clone(&seen);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = JsonServer::start(any_port, 1, move |req| {
            record.lock().unwrap().push(req.clone());
            answer(&req.method, &req.path)
        });
        Self { server: server.unwrap(), seen }
    }

    fn run(&self, args: &[&str]) -> Run {
        let address = self.server.address().to_string();
        run(&[args, &["--server", &address]].concat())
    }

    fn close(self) -> Vec<ServerRequest> {
        self.server.close();
        std::mem::take(&mut self.seen.lock().unwrap())
    }
}

fn not_found() -> Reply {
    let error = json!({"code": "unknown-document", "message": "no document", "hint": "list them"});
    Reply::json(404, &json!({ "error": error }))
}

const ECHO: &str = "\
name: echo
kind: entry
owner: demo
class: latency-critical
limits:
  max_running: 4
";

fn echo_document(max_running: u64) -> serde_json::Value {
    json!({"kind": "entry", "owner": "demo", "class": "latency-critical",
        "limits": {"max_running": max_running}})
}

/// A temporary file that is removed at the end of the test.
struct TempFile {
    path: std::path::PathBuf,
}

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("plantainlever-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self { path }
    }

    fn text(&self) -> &str {
        self.path.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        // A file that is left over is harmless.
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Guards against usage errors with exit code 0, which scripts take for success.
#[test]
fn usage_errors_exit_2_and_change_nothing() {
    for args in [
        &[][..],
        &["nonsense"],
        &["domain", "out"],
        &["domain", "list", "--server", "no-port"],
        &["task", "submit", "count", "--args", "{"],
        &["task", "list", "--state", "lost"],
    ] {
        let run = run(args);
        assert_eq!((run.code, run.out.as_str()), (2, ""), "{args:?}");
        assert!(!run.err.is_empty(), "{args:?}");
    }
}

/// Guards against a command without help or an example, and against lines longer than 80 columns.
#[test]
fn every_command_has_help_with_an_example() {
    for command in [
        "entry",
        "check",
        "dev",
        "catalogue",
        "catalogue list",
        "catalogue get",
        "catalogue apply",
        "catalogue history",
        "domain",
        "domain list",
        "domain out",
        "domain in",
        "task",
        "task submit",
        "task list",
        "task show",
        "task cancel",
        "status",
    ] {
        let args: Vec<&str> = command.split(' ').chain(["--help"]).collect();
        let run = run(&args);
        assert_eq!((run.code, run.err.as_str()), (0, ""), "{command}");
        assert!(run.out.contains(&format!("Example: plantainlever {command}")), "{}", run.out);
        assert!(run.out.lines().all(|line| line.len() <= 80), "{}", run.out);
    }
}

#[test]
fn check_prints_file_line_and_field_and_exits_2() {
    let file = TempFile::new("check.yaml", "nmae: a\n");
    let run = run(&["check", "--config", file.text()]);
    assert_eq!(run.code, 2);
    assert_eq!(run.out, "");
    let unknown = format!(
        "{}:1: nmae: no such setting; allowed here: name, domain, domains, listen, peer_listen, peers, platform, \
         statsd, log, timing, limits",
        file.text()
    );
    assert!(run.err.lines().any(|line| line == unknown), "{}", run.err);
}

#[test]
fn an_unreachable_server_is_reported_with_its_address_and_a_hint() {
    // The port is free again once the listener is dropped.
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let run = run(&["domain", "list", "--server", &address.to_string()]);
    assert_eq!((run.code, run.out.as_str()), (1, ""));
    let expected = format!("error: no process answers at {address} (");
    assert!(run.err.starts_with(&expected), "{}", run.err);
    assert!(run.err.contains("check that it runs, or name another one with --server"));
}

#[test]
fn domain_list_prints_a_table_or_json() {
    let server = FakeServer::start(|_, _| {
        Reply::json(
            200,
            &json!({"revision": 7, "domains": [
                {"name": "dc-a", "state": "in", "revision": 0},
                {"name": "dc-b", "state": "out", "revision": 7}]}),
        )
    });
    let table = server.run(&["domain", "list"]);
    assert_eq!(
        (table.code, table.out.as_str()),
        (0, "DOMAIN  STATE  REVISION\ndc-a    in     -\ndc-b    out    7\n")
    );
    let text = server.run(&["domain", "list", "--json"]).out;
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["domains"][1]["state"], "out");
    server.close();
}

/// Guards against an edit that overwrites a concurrent one: the revision that was read must be sent.
#[test]
fn apply_sends_the_revision_that_it_read_and_shows_the_change() {
    let server = FakeServer::start(|method, _| match method {
        "GET" => {
            Reply::json(200, &json!({"name": "echo", "revision": 41, "document": echo_document(3)}))
        }
        _ => Reply::json(200, &json!({"revision": 42})),
    });
    let file = TempFile::new("apply.yaml", ECHO);
    let run = server.run(&["catalogue", "apply", file.text()]);
    assert_eq!(
        (run.code, run.out.as_str(), run.err.as_str()),
        (0, "echo: changed since revision 41\n  limits.max_running: 3 -> 4\n", "")
    );
    let seen = server.close();
    let put = seen.iter().find(|req| req.method == "PUT").unwrap();
    assert_eq!((put.path.as_str(), put.header("If-Match")), ("/v1/catalogue/echo", Some("41")));
}

#[test]
fn apply_sends_nothing_for_a_dry_run_or_an_unchanged_document() {
    let server = FakeServer::start(|_, path| match path {
        "/v1/catalogue/echo" => {
            Reply::json(200, &json!({"name": "echo", "revision": 41, "document": echo_document(4)}))
        }
        _ => not_found(),
    });
    let same = TempFile::new("same.yaml", ECHO);
    assert_eq!(server.run(&["catalogue", "apply", same.text()]).out, "echo: unchanged\n");
    let new = TempFile::new("new.yaml", &ECHO.replace("name: echo", "name: other"));
    let run = server.run(&["catalogue", "apply", new.text(), "--dry-run"]);
    assert_eq!(
        (run.out.as_str(), run.err.as_str()),
        ("other: new\n", "nothing was sent, because of --dry-run\n")
    );
    assert!(server.close().iter().all(|req| req.method == "GET"));
}

#[test]
fn apply_reports_a_concurrent_change_with_both_revisions() {
    let server = FakeServer::start(|method, _| match method {
        "GET" => not_found(),
        _ => Reply::json(
            409,
            &json!({"error": {"code": "revision-conflict", "message": "the document changed",
                "hint": "read it again", "revision": 44}}),
        ),
    });
    let file = TempFile::new("race.yaml", ECHO);
    let run = server.run(&["catalogue", "apply", file.text()]);
    assert_eq!((run.code, run.out.as_str()), (1, "echo: new\n"));
    assert!(
        run.err.contains(
            "somebody else changed echo after this command read it: it was at revision 0 and is at 44 now; read their \
             change with \"plantainlever catalogue get echo\", merge it into the file, and apply again"
        ),
        "{}",
        run.err
    );
    server.close();
}

/// Guards against a file of which only the documents before the first invalid one are applied.
#[test]
fn apply_checks_the_whole_file_before_it_sends_anything() {
    let server = FakeServer::start(|_, _| not_found());
    for (name, text, expected) in [
        ("empty", "", "has no documents; each needs name, kind, and the fields of its kind"),
        ("noname", "kind: owner\n", "document 1 has no name; add a line such as \"name: echo\""),
        ("twice", "T", "the name echo stands twice; keep one of the two documents"),
        (
            "field",
            "name: a\nkind: entry\nowner: o\nclass: batch\nlimits: {}\nx: 1\n",
            "unknown field `x`",
        ),
        (
            "limit",
            "name: a\nkind: entry\nowner: o\nclass: batch\nlimits: {max_running: 0}\n",
            "limits.max_running is 0, so nothing could ever run; leave it out or set at least 1",
        ),
    ] {
        let text = if text == "T" { format!("{ECHO}---\n{ECHO}") } else { text.to_owned() };
        let file = TempFile::new(&format!("{name}.yaml"), &text);
        let run = server.run(&["catalogue", "apply", file.text()]);
        assert_eq!((run.code, run.out.as_str()), (1, ""), "{name}: {}", run.err);
        assert!(run.err.contains(expected), "{name}: {}", run.err);
    }
    assert_eq!(server.close().len(), 0);
}

/// Guards against a wait that ends before a start in progress has taken effect: the task is reported as running only by
/// the third query.
#[test]
fn domain_out_waits_until_no_task_runs_and_shows_how_many_are_left() {
    let calls = Mutex::new(0);
    let server = FakeServer::start(move |method, path| match (method, path) {
        ("PUT", _) => Reply::json(200, &json!({"revision": 9})),
        (_, "/v1/tasks") => {
            let mut calls = calls.lock().unwrap();
            *calls += 1;
            let state = match *calls {
                1 | 2 => "pending",
                3 => "running",
                _ => "succeeded",
            };
            Reply::json(
                200,
                &json!({"next": null, "tasks": [{"id": "t1", "entry": "count", "state": state,
                    "attempt": 1, "domain": "dc-a", "worker": "w1", "reason": null}]}),
            )
        }
        _ => Reply::json(
            200,
            &json!({"revision": 9, "domains": [{"name": "dc-a", "state": "out", "revision": 9}]}),
        ),
    });
    let run = server.run(&["domain", "out", "dc-a", "--wait"]);
    assert_eq!(
        run,
        Run {
            code: 0,
            out: "dc-a is out; no task starts there after 5 s\ndc-a runs no task\n".to_owned(),
            err:
                "0 tasks left, 1 wait for another worker\n1 tasks left, 0 wait for another worker\n0 tasks left, 0 wait for another worker\n"
                    .to_owned(),
        }
    );
    server.close();
}

/// Guards against a broken smoke test of `dev`, which newcomers run first, and against a wrong exit code.
#[test]
fn dev_once_serves_a_request_runs_a_task_and_exits_0() {
    let run = run(&["dev", "--once", "--listen", "127.0.0.1:0"]);
    assert_eq!(run.code, 0, "{}{}", run.out, run.err);
    let lines: Vec<&str> = run.out.lines().collect();
    assert_eq!(lines.len(), 5, "{}", run.out);
    assert_eq!(lines[0], "DOMAIN  ENTRY PROCESSES");
    assert!(lines[1].starts_with("dc-a    127.0.0.1:"), "{}", lines[1]);
    assert_eq!(lines[2], "4 workers, 2 targets");
    assert!(lines[3].starts_with("request  echo answered in "), "{}", lines[3]);
    assert!(lines[4].contains(" of count succeeded in "), "{}", lines[4]);
    assert!(lines[4].ends_with(" attempt 1 in dc-a"), "{}", lines[4]);
}

#[test]
fn dev_that_cannot_listen_names_the_address_and_exits_1() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let run = run(&["dev", "--once", "--listen", &address]);
    assert_eq!((run.code, run.out.as_str()), (1, ""), "{}", run.err);
    let expected = format!("could not start on {address}; name a free address with --listen");
    assert!(run.err.contains(&expected), "{}", run.err);
}

/// Guards against a planned stop that the load balancer cannot detect, and against one that exits with an error.
#[test]
fn entry_answers_readyz_with_503_and_exits_0_on_sigterm() {
    let mut site = SiteBuilder::new(env!("CARGO_BIN_EXE_plantainlever"))
        .timing(|timing| timing.balancer_wait_ms = 1_000)
        .start()
        .unwrap();
    let process = &mut site.entries_mut()[0].process;
    assert!(process.is_ready());
    process.terminate().unwrap();
    wait::until_true("/readyz answers 503", wait::BOUND, || !process.is_ready(), || "still 200");
    let status = process.wait(wait::BOUND).unwrap();
    assert_eq!(status.code(), Some(0), "{}", process.log().join("\n"));
    let log = process.log();
    let events: Vec<&str> = ["P0100", "P0101", "P0102"]
        .into_iter()
        .filter(|event| log.iter().any(|line| line.contains(event)))
        .collect();
    assert_eq!(events, ["P0100", "P0101", "P0102"]);
}

/// Guards against commands that only work with the fake server of the other tests.
#[test]
fn commands_work_with_a_real_process() {
    let site =
        SiteBuilder::new(env!("CARGO_BIN_EXE_plantainlever")).domains(&["dc-a"]).start().unwrap();
    let server = site.entries()[0].process.address().to_string();
    let file = TempFile::new("real.yaml", ECHO);
    let command = |args: &[&str]| run(&[args, &["--server", &server]].concat());

    let applied = command(&["catalogue", "apply", file.text()]);
    assert_eq!((applied.code, applied.out.as_str()), (0, "echo: new\n"), "{}", applied.err);
    wait::until("the cache has the document", wait::BOUND, || {
        let found = command(&["catalogue", "get", "echo", "-q"]);
        if found.code == 0 { Ok(()) } else { Err(found.err) }
    });
    // The output of `get` is valid input of `apply`.
    let again = TempFile::new("again.yaml", &command(&["catalogue", "get", "echo", "-q"]).out);
    assert_eq!(command(&["catalogue", "apply", again.text()]).out, "echo: unchanged\n");
    let history = command(&["catalogue", "history"]);
    assert_eq!(history.code, 0, "{}", history.err);
    assert!(history.out.lines().nth(1).unwrap().ends_with("  echo"), "{}", history.out);

    let unknown = command(&["domain", "out", "dc-x"]);
    assert_eq!((unknown.code, unknown.out.as_str()), (1, ""));
    assert!(unknown.err.contains("404 (unknown-domain)"), "{}", unknown.err);
    assert_eq!(command(&["domain", "out", "dc-a", "--wait"]).code, 0);
    let status = wait::until("the cache has the state", wait::BOUND, || {
        let status = command(&["status"]);
        if status.out.contains("\ndc-a    out ") { Ok(status) } else { Err(status.out) }
    });
    assert!(status.out.lines().all(|line| line.len() <= 80), "{}", status.out);
    assert_eq!(command(&["domain", "in", "dc-a"]).out, "dc-a is in service\n");

    let task = command(&["task", "show", "t-none"]);
    assert_eq!(task.code, 1);
    assert!(task.err.contains("404 (unknown-task)"), "{}", task.err);
}

/// Guards against a process that starts with invalid settings.
#[test]
fn entry_and_dev_refuse_bad_settings_with_exit_code_2() {
    let file = TempFile::new("bad.yaml", "domains: []\nlog: {level: loud}\n");
    for command in ["entry", "dev"] {
        let run = run(&[command, "--config", file.text()]);
        assert_eq!((run.code, run.out.as_str()), (2, ""), "{command}: {}", run.err);
        let level = format!(
            "{}:2: log.level: found \"loud\"; allowed: error, warn, info, debug",
            file.text()
        );
        assert!(run.err.lines().any(|line| line == level), "{command}: {}", run.err);
        assert!(!run.err.contains("P0100"), "{command}: {}", run.err);
    }
}

/// Guards against a status that lacks a section, or whose lines are longer than 80 columns.
#[test]
fn status_shows_domains_queues_quarantined_workers_and_unplaceable_tasks() {
    let server = FakeServer::start(|_, _| {
        Reply::json(
            200,
            &json!({
                "process": "entry-1-0f", "domain": "dc-a", "stopping": false, "revision": 12,
                "revision_age_ms": 2300, "fresh": false, "schedulers_known": true,
                "domains": [
                    {"name": "dc-a", "state": "in", "scheduler": "entry-1-0f", "epoch": 3, "claimant": null},
                    {"name": "dc-b", "state": "out", "scheduler": null, "epoch": null, "claimant": "entry-2-aa"}],
                "queues": [{"name": "tasks", "class": "batch", "waiting": 4, "running": 2}],
                "quarantined": [{"worker": "w7", "domain": "dc-a", "reason": "failed 5 of 5 starts"}],
                "unplaceable_count": 2,
                "unplaceable": [{"id": "t-1", "entry": "count", "reason":
                    "asks for 64000 processor thousandths, and the largest worker of any domain has 32000 in all"}],
            }),
        )
    });
    assert_eq!(
        server.run(&["status"]).out,
        "\
process  entry-1-0f in dc-a
revision 12, 2300 ms old, too old for tasks to start

DOMAIN  STATE  SCHEDULER   EPOCH  CLAIMED BY
dc-a    in     entry-1-0f  3      -
dc-b    out    none        -      entry-2-aa

QUEUE  CLASS  WAITING  RUNNING
tasks  batch  4        2

quarantined workers: 1
  w7 in dc-a
    failed 5 of 5 starts
unplaceable tasks: 2
  t-1 of count
    asks for 64000 processor thousandths, and the largest worker of any domain
    has 32000 in all
  and 1 more
"
    );
    server.close();
}

/// Guards against shortened IDs in a table, which other commands don't accept.
#[test]
fn task_list_shows_whole_ids_within_80_columns() {
    let id = "t-0123456789abcdef0123456789abcdef";
    let server = FakeServer::start(move |_, path| {
        let state = if path == "/v1/tasks" { "running" } else { "unplaceable" };
        Reply::json(
            200,
            &json!({"next": if path == "/v1/tasks" { Some(id) } else { None }, "tasks": [{
                "id": id, "entry": "a-name-of-more-than-twenty-characters", "state": state,
                "attempt": 1, "domain": "dc-a", "worker": null, "reason": "r"}]}),
        )
    });
    let list = server.run(&["task", "list"]);
    assert_eq!(
        list.out,
        format!(
            "ID                                  STATE        ENTRY                    DOMAIN\n\
             {id}  running      a-name-of-more-than-...  dc-a\n\
             {id}  unplaceable  a-name-of-more-than-...  dc-a\n"
        )
    );
    assert_eq!(list.err, "\"plantainlever task show ID\" tells the reason\n");
    let one = server.run(&["task", "list", "--state", "unplaceable", "--json"]).out;
    let one: serde_json::Value = serde_json::from_str(&one).unwrap();
    assert_eq!(one.as_array().map(Vec::len), Some(1));
    let paths: Vec<String> = server.close().into_iter().map(|req| req.path).collect();
    assert_eq!(paths[..2], ["/v1/tasks".to_owned(), format!("/v1/tasks?after={id}")]);
}

fn batch_entry() -> plantainlever::catalogue::Document {
    serde_json::from_value(json!({
        "kind": "entry", "owner": "tests", "class": "batch",
        "limits": {"per_task": {"cpu_millis": 1000, "memory_mb": 1024}},
    }))
    .unwrap()
}

/// Guards against a wait that ends while tasks still run in the domain, and against a task that does not continue in
/// another domain.
#[test]
fn domain_out_wait_ends_when_the_tasks_have_moved() {
    let site = SiteBuilder::new(env!("CARGO_BIN_EXE_plantainlever"))
        .domains(&["dc-a", "dc-b"])
        .document("count", batch_entry())
        .start()
        .unwrap();
    let client = site.entries()[0].client();
    let submit =
        || client.submit("count", &json!({"run_ms": 4000})).map_err(|error| error.to_string());
    let id = wait::until("a task is submitted", wait::BOUND, submit).id;
    let state = || client.task(&id).map_err(|error| error.to_string());
    let seen = |task: &dyn std::fmt::Debug| format!("{task:?}");
    let before = wait::until("the task runs", wait::BOUND, || {
        let task = state()?;
        if task.worker.is_some() { Ok(task) } else { Err(seen(&task)) }
    });
    let server = site.entries()[0].process.address().to_string();
    let out = run(&["domain", "out", &before.domain, "--wait", "--server", &server]);
    assert_eq!(out.code, 0, "{}{}", out.out, out.err);
    let workers = site.workers(&before.domain).unwrap();
    assert_eq!(
        [1, 2].map(|n| workers.running(&format!("{}-worker-{n}", before.domain)).len()),
        [0, 0]
    );
    let after = wait::until("the task ends", wait::BOUND, || {
        let task = state()?;
        if task.state.is_final() { Ok(task) } else { Err(seen(&task)) }
    });
    assert_eq!(after.state, plantainlever::task::TaskState::Succeeded, "{after:?}");
    assert_eq!((after.attempt, after.domain == before.domain), (2, false), "{after:?}");
}
