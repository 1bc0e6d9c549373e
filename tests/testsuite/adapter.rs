//! The adapter to the users' platform: valid and malformed messages of each interface.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use plantainlever::adapter::PlatformAdapter;
use plantainlever::adapter::operator::OperatorRows;
use plantainlever::adapter::settings::{self, SettingsError};
use plantainlever::adapter::wire::Job;
use plantainlever::job::spec::MAX_STEPS;
use plantainlever::job::{JobSpec, Resources};
use plantainlever::port::{
    Commit, CommitOutcome, Row, RowKey, RowList, RowStore, StoreError, WorkerPort,
};
use plantainlever::shard::WorkerId;
use plantainlever::shard::report::{EndCause, RunReport};
use plantainlever::shard::scheduler::{
    Command, CommandKind, CommandOutcome, RenewalFailure, Reply, StartOutcome, StartRefusal,
};

const SETTINGS: &str = r#"{"node-name":"edge-1","zone":"north","listen":{"front":"127.0.0.1:1","readiness":"127.0.0.1:2"},
"limits":{"cpu-share":0.25,"max-fds":4100},"bounds":{"grace-s":6,"hold-max-ms":6000,"stop-ms":400,"pace-ms":100,"config-apply-ms":3000,"evac-ms":6000,"drain-ms":3500,"cancel_ms":4000},
"platform":{"address":"127.0.0.1:3"},"new-field":[1]}"#;

/// Starts a server that sends these answers in order. Returns its address and the requests that it received, as
/// [`read_request`] returns them.
fn serve_answers(answers: &[(u16, &str)]) -> (SocketAddr, Receiver<String>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut remaining: VecDeque<(u16, String)> =
        answers.iter().map(|(status, body)| (*status, (*body).to_owned())).collect();
    let (tx, rx) = channel();
    std::thread::spawn(move || {
        while let Some((status, body)) = remaining.pop_front() {
            let (mut stream, _) = listener.accept().unwrap();
            let request = read_request(&mut stream);
            tx.send(request).unwrap();
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(body.as_bytes()).unwrap();
        }
    });
    (address, rx)
}

/// Reads a request. Returns its method and path, the worker incarnation that its header names (`-` if none), and its
/// body.
fn read_request(stream: &mut std::net::TcpStream) -> String {
    let mut text = String::new();
    loop {
        let mut part = [0; 4_096];
        let read = stream.read(&mut part).unwrap();
        text.push_str(std::str::from_utf8(&part[..read]).unwrap());
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
            let line = head.lines().next().unwrap().trim_end_matches(" HTTP/1.1").to_owned();
            let incarnation =
                head.lines().find_map(|line| line.strip_prefix("x-expect-instance: "));
            return format!("{line} {} {body}", incarnation.unwrap_or("-"));
        }
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

fn command(address: SocketAddr, kind: CommandKind) -> Command {
    Command { worker: WorkerId::new("i-7f3a91c2"), incarnation: 0, address, kind }
}

fn job() -> Job {
    serde_json::from_str(
        r#"{"spec":"(text)","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,"affinity":"r1-3"},
        {"count":20,"cpu":2000,"mem-mb":1024,"estimate-ms":7000,"after":[0],"checkpointing":true,"fills":true,
        "image":"x","may-miss":0,"constraints":"a","anti-affinity":2}]}"#,
    )
    .unwrap()
}

/// Guards against a field of a submitted job that is lost or decoded into another.
#[test]
fn a_job_is_decoded_with_all_its_fields() {
    let spec = JobSpec::from(job());
    spec.check().unwrap();
    let (first, second) = (&spec.steps[0], &spec.steps[1]);
    assert_eq!((first.count, first.data_rack.as_deref()), (4, Some("r1-3")));
    assert_eq!(first.resources, Resources { cpu_millis: 500, memory_mib: 256, accelerators: 0 });
    assert_eq!((first.max_unavailable, second.max_unavailable), (None, Some(0)));
    assert_eq!((second.after.as_slice(), second.checkpoints), (&[0_u16][..], true));
    assert_eq!(second.committed().cpu_millis, 0);
    assert_eq!((second.required_label.as_deref(), second.max_per_worker), (Some("a"), Some(2)));
    assert_eq!(spec.schedule, None);
}

/// Guards against a body that takes a hundred times its size once it is decoded.
#[test]
fn the_steps_of_a_job_are_decoded_up_to_the_limit_only() {
    let decode = |count: usize| {
        let steps = vec!["{}"; count].join(",");
        serde_json::from_str::<Job>(&format!(r#"{{"steps":[{steps}]}}"#))
    };
    assert_eq!(decode(MAX_STEPS).unwrap().steps.len(), MAX_STEPS);
    let error = decode(80_000).unwrap_err().to_string();
    let expected = "invalid length 65, expected a list of at most 64 steps at line 1 column ";
    assert!(error.starts_with(expected), "{error}");
}

/// Guards against a command that differs from the platform's specification.
#[test]
fn commands_are_encoded_as_the_platform_specifies() {
    let (address, requests) = serve_answers(&[
        (200, r#"{"clock-ms":482113}"#),
        (200, r#"{"clock-ms":482113}"#),
        (200, r#"{"clock-ms":482113}"#),
        (
            200,
            r#"{"clock-ms":482113,"born":77,"active":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,350]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}"#,
        ),
    ]);
    let task = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
    let spec = Rc::new(JobSpec::from(job()));
    let platform = PlatformAdapter::new(address);
    let start = command(
        address,
        CommandKind::Start {
            task,
            run: 2,
            spec,
            expiry_ms: 486_000,
            checkpoint: "0bb8".to_owned(),
        },
    );
    let renewal = command(
        address,
        CommandKind::Renew {
            expiry_ms: Some(486_000),
            acked_end: 57,
            wait: Duration::from_millis(1_000),
        },
    );
    block_on(async {
        let started = Reply { outcome: StartOutcome::Started, clock_ms: Some(482_113) };
        assert_eq!(platform.start(7, &start).await, started);
        let stop = command(address, CommandKind::Stop { task, run: 2 });
        let done = Reply { outcome: CommandOutcome::Done, clock_ms: Some(482_113) };
        assert_eq!(platform.stop_or_throttle(7, &stop).await, done);
        let throttle = command(address, CommandKind::Throttle { task, run: 2, percent: 40 });
        assert_eq!(platform.stop_or_throttle(7, &throttle).await, done);
        let report = platform.renew(7, &renewal).await.unwrap();
        assert_eq!((report.clock_ms, report.incarnation_started_unix_ms), (482_113, Some(77)));
        let active =
            RunReport { task, run: 2, checkpoint: "0bb8".to_owned(), percent: 41, load: 350 };
        assert_eq!(report.active, [active]);
        assert_eq!((report.ended[0].number, report.ended[0].cause), (58, EndCause::Done));
    });
    let sent: Vec<String> = requests.try_iter().collect();
    let task = "5c0e7a21d94b36f8.0.1.17";
    assert_eq!(sent, [
        format!(r#"POST /run-start i-7f3a91c2 {{"task":"{task}","run":2,"spec":"(text)","deadline-ms":486000,"fencing-token":7,"checkpoint":"0bb8"}}"#),
        format!(r#"POST /run-stop i-7f3a91c2 {{"task":"{task}","run":2,"fencing-token":7}}"#),
        format!(r#"POST /pace i-7f3a91c2 {{"task":"{task}","run":2,"percent":40,"fencing-token":7}}"#),
        r#"POST /hold i-7f3a91c2 {"fencing-token":7,"ack-cursor":57,"deadline-ms":486000,"wait-ms":1000}"#.to_owned(),
    ]);
}

/// Guards against a refused start that is decoded as another outcome: some outcomes mean that the run does not exist,
/// others that it may.
#[test]
fn each_refusal_of_a_start_is_decoded_as_its_cause() {
    let cases = [
        (409, r#"{"clock-ms":1,"reason":"fence"}"#, StartOutcome::Refused(StartRefusal::Fenced)),
        (409, r#"{"clock-ms":1,"reason":"old"}"#, StartOutcome::Refused(StartRefusal::Old)),
        (409, r#"{"clock-ms":1,"reason":"late"}"#, StartOutcome::Refused(StartRefusal::Late)),
        (409, r#"{"clock-ms":1,"reason":"room"}"#, StartOutcome::Refused(StartRefusal::Room)),
        (421, r#"{"clock-ms":1}"#, StartOutcome::Refused(StartRefusal::Unhealthy)),
        (503, "", StartOutcome::Refused(StartRefusal::Unhealthy)),
        (400, "", StartOutcome::Refused(StartRefusal::Invalid)),
        (500, "", StartOutcome::Unknown),
    ];
    for (status, body, expected) in cases {
        let (address, _requests) = serve_answers(&[(status, body)]);
        let task = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
        let kind = CommandKind::Start {
            task,
            run: 1,
            spec: Rc::new(JobSpec::from(job())),
            expiry_ms: 1,
            checkpoint: String::new(),
        };
        let reply = block_on(async {
            PlatformAdapter::new(address).start(1, &command(address, kind)).await
        });
        // With 421, another worker answers, whose clock tells nothing of this one.
        let clock_ms = (body.contains("clock-ms") && status != 421).then_some(1);
        assert_eq!(reply, Reply { outcome: expected, clock_ms }, "{status} {body}");
    }
}

/// Guards against a renewal answer that is decoded in part: the scheduler would start the omitted runs again.
#[test]
fn a_malformed_renewal_answer_is_rejected_as_a_whole() {
    let bad = [
        r#"{"clock-ms":1,"active":[["not a task",2,"",41,0]]}"#,
        r#"{"clock-ms":1,"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]}"#,
        r#"{"active":[]}"#,
        "not JSON",
    ];
    for body in bad {
        let (address, _requests) = serve_answers(&[(200, body)]);
        let kind = CommandKind::Renew { expiry_ms: None, acked_end: 0, wait: Duration::ZERO };
        let outcome = block_on(async {
            PlatformAdapter::new(address).renew(1, &command(address, kind)).await
        });
        assert_eq!(outcome, Err(RenewalFailure::NoAnswer), "{body}");
    }
}

/// Guards against a malformed entry in the VM list that is decoded as a worker, or that hides the valid entries.
#[test]
fn malformed_worker_entries_are_skipped() {
    let row = |key: &str, value: &str| {
        use base64::Engine;
        let value = base64::prelude::BASE64_STANDARD.encode(value);
        format!(r#"{{"table":"servers","part":"","key":"{key}","value":"{value}","ver":5}}"#)
    };
    let good = r#"{"service":"s","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"draining",
        "remaining-ms":4000,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],"born":9,"seq":4}"#;
    let rows = [
        row("i-1", "{}"),
        row("i-2", "\u{1}"),
        row("i-3", &good.replace("\"draining\"", "\"asleep\"")),
        row("i-4", &good.replace("\"z\"", "7")),
        row("i-5", good),
    ];
    let body = format!(r#"{{"rows":[{}],"has-more":false,"ver":530,"now-ms":1}}"#, rows.join(","));
    let (address, requests) = serve_answers(&[(200, &body)]);
    let workers = block_on(async { PlatformAdapter::new(address).list().await.unwrap() });
    assert_eq!(requests.recv().unwrap(), "GET /rows-get?table=servers&part=&limit=500 - ");
    assert_eq!(workers.len(), 1);
    assert_eq!(
        (workers[0].id.as_str(), workers[0].is_draining, workers[0].rack()),
        ("i-5", true, Some("r1-3"))
    );
    assert_eq!(workers[0].incarnation_started_unix_ms, Some(9));
}

/// Guards against a page of a list that is skipped or read twice.
#[test]
fn a_long_list_is_read_page_by_page() {
    let page = |key: &str, more: bool| {
        format!(
            r#"{{"rows":[{{"table":"t","part":"p","key":"{key}","value":"","ver":5}}],"has-more":{more},"ver":9,"now-ms":1}}"#
        )
    };
    let (address, requests) = serve_answers(&[(200, &page("a", true)), (200, &page("b", false))]);
    let list =
        block_on(async { PlatformAdapter::new(address).read("t", "p", "", "").await.unwrap() });
    let keys: Vec<&str> = list.rows.iter().map(|row| row.id.key.as_str()).collect();
    assert_eq!((keys, list.version), (vec!["a", "b"], 9));
    assert_eq!(
        requests.iter().take(2).collect::<Vec<_>>(),
        [
            "GET /rows-get?table=t&part=p&limit=500 - ",
            "GET /rows-get?table=t&part=p&from=a%01&limit=500 - ",
        ]
    );
}

/// Guards against a transaction that is sent without its condition, and against an unknown outcome that is decoded as a
/// refusal.
#[test]
fn transactions_keep_conditions_and_outcomes() {
    let key = RowKey::new("t", "k");
    let commit = Commit {
        partition: "p".to_owned(),
        expected: vec![(key.clone(), 0)],
        writes: vec![(key, b"node-1".to_vec())],
        removes: vec![RowKey::new("t", "old")],
    };
    let conflict = r#"{"rows":[{"table":"t","part":"p","key":"k","value":"eA==","ver":7}],"ver":9,"now-ms":1}"#;
    let (address, requests) = serve_answers(&[
        (200, r#"{"ver":412,"now-ms":51230}"#),
        (412, conflict),
        (503, ""),
        (429, ""),
        (500, ""),
        (400, ""),
        (403, ""),
        (413, ""),
    ]);
    let platform = PlatformAdapter::new(address);
    let outcomes = RefCell::new(Vec::new());
    block_on(async {
        for _ in 0..8 {
            let outcome = platform.commit(&commit).await;
            outcomes.borrow_mut().push(outcome);
        }
    });
    let outcomes = outcomes.into_inner();
    assert_eq!(outcomes[0], Ok(CommitOutcome::Applied { version: 412 }));
    let row = Row { id: RowKey::new("t", "k"), value: Some(b"x".to_vec()), version: 7 };
    assert_eq!(outcomes[1], Ok(CommitOutcome::Conflict { rows: vec![row] }));
    assert!(matches!(outcomes[2], Err(StoreError::Refused { .. })));
    assert!(matches!(outcomes[3], Err(StoreError::Refused { .. })));
    assert!(matches!(outcomes[4], Err(StoreError::NoAnswer { .. })));
    for outcome in &outcomes[5..] {
        assert!(matches!(outcome, Err(StoreError::Rejected { .. })), "{outcome:?}");
    }
    assert_eq!(
        requests.recv().unwrap(),
        concat!(
            r#"POST /rows-tx - {"expected-rev":[{"table":"t","part":"p","key":"k","ver":0}],"#,
            r#""writes":[{"table":"t","part":"p","key":"k","value":"bm9kZS0x"}],"#,
            r#""remove":[{"table":"t","part":"p","key":"old"}]}"#
        )
    );
}

/// Guards against missing history that is decoded as the absence of changes.
#[test]
fn missing_history_is_reported_as_such() {
    let (address, requests) = serve_answers(&[(410, "")]);
    let outcome = block_on(async {
        PlatformAdapter::new(address).changes("op", 530, Duration::from_secs(2)).await
    });
    assert_eq!(outcome, Err(StoreError::HistoryGone));
    assert_eq!(requests.recv().unwrap(), "GET /rows-feed?table=op&after=530&wait-ms=2000 - ");
}

/// Guards against an operators' row that is ignored, and against a malformed row that replaces a valid one.
#[test]
fn operators_rows_are_decoded_into_an_operator_config() {
    let row = |key: &str, value: Option<&str>| Row {
        id: RowKey::new("op", key),
        value: value.map(|value| value.as_bytes().to_vec()),
        version: 3,
    };
    let config = r#"{"version":7,"routes":[{"name":"r-1","host":"a.example","path-prefix":"/x/","kind":"non_idempotent",
        "timeout-ms":3000,"target-latency-ms":250,"priority":2,"service":"s","attempts":4,"stretch":1.5}],"services":[]}"#;
    let platform = PlatformAdapter::new("127.0.0.1:1".parse().unwrap());
    let mut rows = OperatorRows::default();
    let apply = |rows: &mut OperatorRows, row: Row| {
        rows.apply(&platform, &RowList { rows: vec![row], version: 3 });
    };
    apply(&mut rows, row("evacuate/north", Some("{}")));
    assert_eq!(rows.operator_config(), None);
    apply(&mut rows, row("config", Some(config)));
    apply(&mut rows, row("config", Some("{")));
    let operator_config = rows.operator_config().unwrap();
    assert_eq!((operator_config.version, operator_config.domains_out.contains("north")), (7, true));
    let (route, rest) = operator_config.route("a.example", "/x/5c0e").unwrap();
    assert_eq!((route.queue.as_str(), rest), ("r-1", "5c0e"));
    assert!(operator_config.route("b.example", "/x/5c0e").is_none());
    let policy = &operator_config.queues["r-1"];
    assert_eq!((policy.service.as_str(), policy.priority, policy.attempts), ("s", 2, 4));
    apply(&mut rows, row("evacuate/north", None));
    assert!(rows.operator_config().unwrap().domains_out.is_empty());
}

/// Guards against a process that starts with missing or malformed settings, and against errors that don't say where the
/// settings are wrong.
#[test]
fn settings_are_read_and_errors_name_the_file_and_line() {
    let folder =
        std::env::temp_dir().join(format!("plantainlever-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("node.json");
    std::fs::write(&file, SETTINGS).unwrap();
    let cfg = settings::load(&file).unwrap();
    assert_eq!((cfg.node_name.as_str(), cfg.limits.max_fds), ("edge-1", 4100));
    let bounds = &cfg.bounds;
    let ages = (bounds.config_apply_ms, bounds.evac_ms, bounds.drain_ms, bounds.cancel_ms);
    assert_eq!(ages, (3_000, 6_000, 3_500, 4_000));
    assert_eq!((bounds.hold_max_ms, bounds.stop_ms), (6_000, 400));
    std::fs::write(&file, SETTINGS.replace("\"max-fds\":4100", "\"max-fds\":\"many\"")).unwrap();
    let error = settings::load(&file).unwrap_err();
    assert!(error.to_string().contains("node.json:2"), "{error}");
    let error = settings::load(Path::new("/nonexistent/node.json")).unwrap_err();
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards against names of the platform in the source outside of the adapter.
#[test]
fn only_the_adapter_uses_the_names_of_the_platform() {
    let words = [
        "/run-start",
        "/rows-tx",
        "rows-feed",
        "ack-cursor",
        "fencing-token",
        "PLANTAINLEVER_NODE_FILE =",
        "op/config",
    ];
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Vec::new();
    visit(&root, &mut |path, text| {
        for (number, line) in text.lines().enumerate() {
            let names_adapter = line.contains("adapter::") && !path.ends_with("lib.rs");
            let is_binary = path.components().any(|part| part.as_os_str() == "bin");
            if words.iter().any(|word| line.contains(word)) || (names_adapter && !is_binary) {
                found.push(format!("{}:{}: {line}", path.display(), number + 1));
            }
        }
    });
    assert_eq!(found, Vec::<String>::new());
}

fn visit(folder: &Path, f: &mut impl FnMut(&Path, &str)) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            visit(&path, f);
        } else {
            f(&path, &std::fs::read_to_string(&path).unwrap());
        }
    }
}
