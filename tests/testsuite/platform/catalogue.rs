//! Tests of the catalogue cache and the operators' API for the catalogue and the domains.

use arbtest::arbtest;
use plantainlever::catalogue::CatalogueCache;
use plantainlever::ops::api::{ApiRequest, catalogue, domains, tasks};
use plantainlever::ops::{Context, sync};

use super::*;

fn call(
    cx: &Context,
    method: &str,
    path: &str,
    if_match: Option<&str>,
    body: &str,
) -> (u16, String) {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let headers: Vec<_> =
        if_match.iter().map(|value| ("if-match".to_owned(), (*value).to_owned())).collect();
    let req = ApiRequest {
        method,
        segments: path.split('/').collect(),
        query,
        headers: &headers,
        body: body.as_bytes(),
    };
    let handle = match req.segments[0] {
        "domains" => domains::handle,
        "tasks" => tasks::handle,
        _ => catalogue::handle,
    };
    let reply = handle(cx, &req);
    (reply.status, String::from_utf8(reply.body).expect("JSON is UTF-8"))
}

fn owner(cpu_millis: u64) -> String {
    json!({"kind": "owner", "quota": {"cpu_millis": cpu_millis, "memory_mb": 1}}).to_string()
}

/// Guards against a cache that reverts to older content: an answer that is older, repeated or based on a later revision
/// must not change it (promise 10).
#[test]
fn cache_never_reverts_under_shuffled_answers() {
    arbtest(|u| {
        let key = |number: u64| format!("catalogue/d{}", number % 4);
        let mut rows: Vec<Row> = Vec::new();
        let mut answers = Vec::new();
        for revision in 1..=u.int_in_range(2..=25)? {
            let document =
                json!({"kind": "owner", "quota": {"cpu_millis": revision, "memory_mb": 1}});
            let value = u.ratio(3_u8, 4_u8)?.then_some(document);
            let key = key(u.arbitrary::<u8>()?.into());
            rows.retain(|row| row.key != key);
            rows.push(Row { key, revision, value });
            // An answer to a read of the changes after `base`.
            let base = u.int_in_range(0..=revision)?;
            let changed = rows.iter().filter(|row| row.revision > base).cloned().collect();
            answers.push((base, ReadResponse { revision, rows: changed }));
        }
        let now = Instant::now();
        let mut cache = CatalogueCache::default();
        for _ in 0..u.int_in_range(1..=80)? {
            let (base, response) = u.choose(&answers)?;
            let before = cache.clone();
            let age = Duration::from_millis(u.int_in_range(0..=1_000)?);
            let is_applied = cache.apply(*base, response, now + age);
            assert_eq!(
                is_applied,
                response.revision >= before.revision() && *base <= before.revision()
            );
            assert!(cache.revision() >= before.revision());
            assert!(cache.confirmed_at() >= before.confirmed_at());
            for row in &before.changes_after(0).rows {
                let after = cache.changes_after(0);
                assert!(after.row(&row.key).is_some_and(|held| held.revision >= row.revision));
            }
            // Whichever answers were skipped, the cache equals the table at the cache's revision.
            for number in 0..4 {
                let written = answers.iter().flat_map(|(_, answer)| &answer.rows);
                let newest = written
                    .filter(|row| row.key == key(number) && row.revision <= cache.revision())
                    .max_by_key(|row| row.revision);
                let name = format!("d{number}");
                let expected = newest.filter(|row| row.value.is_some()).map(|row| row.revision);
                assert_eq!(cache.document_revision(&name), expected);
                assert_eq!(cache.document(&name).is_some(), expected.is_some());
            }
        }
        Ok(())
    })
    .budget_ms(1_000);
}

/// Guards against two conflicting edits that are both reported as accepted.
#[test]
fn one_of_two_racing_editors_wins() {
    let t = TestTable::with_clock(SystemClock);
    let processes = ["p1", "p2"].map(|it| t.context_with(it, threaded(&t.faulty, 1_000)));
    let mut revision = 0;
    for round in 0..50 {
        let based_on = revision.to_string();
        let edit =
            |cx: &Context, cpu| call(cx, "PUT", "catalogue/team", Some(&based_on), &owner(cpu));
        let replies = std::thread::scope(|scope| {
            let racer = scope.spawn(|| edit(&processes[0], 2 * round));
            let other = edit(&processes[1], 2 * round + 1);
            [racer.join().expect("the editor does not panic"), other]
        });
        let winner = replies.iter().position(|(status, _)| *status == 200).expect("one wins");
        let (status, lost) = &replies[1 - winner];
        let won: Value = serde_json::from_str(&replies[winner].1).unwrap();
        let lost: Value = serde_json::from_str(lost).unwrap();
        assert_eq!((*status, &lost["error"]["code"]), (409, &json!("lost-race")));
        assert_eq!(lost["error"]["revision"], won["revision"]);
        revision = won["revision"].as_u64().unwrap();
        for cx in &processes {
            sync::refresh(cx).unwrap();
            let (_, seen) = call(cx, "GET", "catalogue/team", None, "");
            let seen: Value = serde_json::from_str(&seen).unwrap();
            assert_eq!(seen["revision"], revision);
            assert_eq!(seen["document"]["quota"]["cpu_millis"], 2 * round + winner as u64);
        }
    }
    processes.into_iter().for_each(|cx| cx.commits.close());
}

/// Guards against an edit that fails because another document was edited, and against entries missing in the history.
#[test]
fn edits_of_different_documents_do_not_conflict() {
    const EDITORS: u64 = 6;
    const EDITS: u64 = 5;
    let t = TestTable::with_clock(SystemClock);
    let cx = &t.context_with("p1", threaded(&t.faulty, 1_000));
    std::thread::scope(|scope| {
        for editor in 0..EDITORS {
            scope.spawn(move || {
                for edit in 0..EDITS {
                    let path = format!("catalogue/team-{editor}-{edit}");
                    let (status, body) = call(cx, "PUT", &path, Some("0"), &owner(1));
                    assert_eq!(status, 200, "{body}");
                }
            });
        }
    });
    let (_, history) = call(cx, "GET", "catalogue?history", None, "");
    let history: catalogue::History = serde_json::from_str(&history).unwrap();
    let revisions: Vec<_> = history.changes.iter().map(|change| change.revision.unwrap()).collect();
    assert_eq!(history.changes.len() as u64, EDITORS * EDITS);
    assert!(revisions.is_sorted_by(|newer, older| newer > older), "{revisions:?}");
    for change in &history.changes {
        let revision = cx.catalogue.snapshot().document_revision(&change.name);
        assert_eq!(revision, change.revision);
    }
    cx.commits.clone().close();
}

/// Guards against an edit that is reported as accepted although it may not be committed, and against one that is
/// reported as failed although it may be.
#[test]
fn edits_during_table_faults_report_only_certain_outcomes() {
    let t = TestTable::new();
    let cx = t.context("p1");
    let out = "{\"state\":\"out\"}";
    sync::refresh(&cx).unwrap();

    t.faults.set_down(true);
    let down = "{\"error\":{\"code\":\"store-unavailable\",\"message\":\"not committed: table service at in process \
        cannot be reached: switched off\",\"hint\":\"nothing was changed; repeat the request when the table service \
        answers again\"}}";
    assert_eq!(call(&cx, "PUT", "domains/b", None, out), (503, down.to_owned()));
    let (status, body) = call(&cx, "PUT", "catalogue/team", Some("0"), &owner(1));
    assert_eq!((status, body.contains("store-unavailable")), (503, true), "{body}");
    // Reads are still answered from the cache.
    assert_eq!(call(&cx, "GET", "catalogue", None, "").0, 200);

    t.faults.set_down(false);
    t.faults.lose_answers(u32::MAX);
    let (status, body) = call(&cx, "PUT", "domains/b", None, out);
    assert_eq!((status, body.contains("\"code\":\"outcome-unknown\"")), (504, true), "{body}");
    t.faults.lose_answers(0);

    // Slow, but within the timeout: accepted, and this process's cache shows it at once.
    t.faults.set_delay(Duration::from_millis(900));
    let accepted = "{\"name\":\"a\",\"state\":\"out\",\"revision\":2}";
    assert_eq!(call(&cx, "PUT", "domains/a", None, out), (200, accepted.to_owned()));
    assert_eq!(call(&cx, "GET", "domains/a", None, ""), (200, accepted.to_owned()));
}

/// Guards against invalid edits that are applied in part, and against messages that don't say what to do.
#[test]
fn bad_input_gets_its_own_exact_error() {
    let t = TestTable::new();
    let cx = t.context("p1");
    sync::refresh(&cx).unwrap();
    // Cases are separated by empty lines. The first line has method, path, If-Match and body of the request, the second
    // one status and body of the answer.
    for case in include_str!("errors.txt").split("\n\n") {
        let (req, expected) = case.trim_end().split_once('\n').expect("a case has two lines");
        let mut parts = req.splitn(4, ' ');
        let mut part = || parts.next().unwrap_or_default();
        let (method, path, revision, body) = (part(), part(), part(), part());
        let revision = Some(revision).filter(|revision| *revision != "-");
        let (status, body) = call(&cx, method, path, revision, body);
        assert_eq!(format!("{status} {body}"), expected, "{req}");
    }
    assert_eq!(t.table.read(&rows("")).unwrap(), ReadResponse::default());
}

/// Guards against a changed form of the answers, which operators' scripts parse.
#[test]
fn answers_show_documents_and_domains_with_their_revisions() {
    let t = TestTable::new();
    let cx = t.context("p1");
    assert_eq!(call(&cx, "GET", "catalogue", None, "").0, 503);
    assert_eq!(call(&cx, "GET", "domains", None, "").0, 503);
    assert_eq!(
        call(&cx, "PUT", "catalogue/team", Some("\"0\""), &owner(7)),
        (200, r#"{"name":"team","revision":1}"#.to_owned())
    );
    let document = r#"{"name":"team","revision":1,"document":{"kind":"owner","quota":{"cpu_millis":7,"memory_mb":1,"accelerators":0}}}"#;
    assert_eq!(call(&cx, "GET", "catalogue/team", None, ""), (200, document.to_owned()));
    let list = format!(r#"{{"revision":1,"age_ms":0,"documents":[{document}]}}"#);
    assert_eq!(call(&cx, "GET", "catalogue", None, ""), (200, list));
    call(&cx, "PUT", "domains/b", Some("0"), r#"{"state":"out"}"#);
    let list = r#"{"age_ms":0,"domains":[{"name":"a","state":"in","revision":0},{"name":"b","state":"out","revision":2}]}"#;
    assert_eq!(call(&cx, "GET", "domains", None, ""), (200, list.to_owned()));
    let history =
        r#"{"changes":[{"name":"team","revision":1,"replaced":0,"unix_ms":0,"process":"p1"}]}"#;
    assert_eq!(call(&cx, "GET", "catalogue?history", None, ""), (200, history.to_owned()));
}

/// Guards against a task that is refused as unknown, or accepted, by a catalogue that operators have changed since.
#[test]
fn an_old_catalogue_decides_on_no_submission() {
    let t = TestTable::new();
    let (operator, process) = (t.context("p1"), t.context("p2"));
    let entry = |limits: Value| {
        json!({"kind": "entry", "owner": "team", "class": "latency-critical", "limits": limits})
            .to_string()
    };
    let task_entry = entry(json!({"per_task": {"cpu_millis": 1, "memory_mb": 1}}));
    let edit = |name: &str, revision: u64, body: &str| {
        let path = format!("catalogue/{name}");
        let (status, body) = call(&operator, "PUT", &path, Some(&revision.to_string()), body);
        assert_eq!(status, 200, "{body}");
        serde_json::from_str::<Value>(&body).unwrap()["revision"].as_u64().unwrap()
    };
    let submit = |name: &str| {
        let body = json!({ "entry": name }).to_string();
        let (status, body) = call(&process, "POST", "tasks", None, &body);
        let body: Value = serde_json::from_str(&body).unwrap();
        (status, body["error"]["code"].as_str().unwrap_or_default().to_owned())
    };
    edit("team", 0, &owner(1_000));
    let revision = edit("changed", 0, &task_entry);
    sync::refresh(&process).unwrap();
    assert_eq!(submit("changed"), (202, String::new()));
    assert_eq!(submit("added"), (404, "unknown-entry".to_owned()));
    edit("changed", revision, &entry(json!({})));
    edit("added", 0, &task_entry);
    t.clock.advance(process.cfg.timing.freshness());
    for name in ["changed", "added"] {
        assert_eq!(submit(name), (503, "store-unavailable".to_owned()), "{name}");
    }
    sync::refresh(&process).unwrap();
    assert_eq!(submit("changed"), (422, "not-a-task-entry".to_owned()));
    assert_eq!(submit("added"), (202, String::new()));
    [operator, process].into_iter().for_each(|cx| cx.commits.close());
}

/// Guards against a document that is shown as missing by a process that could not read that it was added.
#[test]
fn an_old_catalogue_shows_no_document_as_unknown() {
    let t = TestTable::new();
    let cx = t.context("p1");
    sync::refresh(&cx).unwrap();
    assert_eq!(call(&cx, "GET", "catalogue/added", None, "").0, 404);
    t.clock.advance(cx.cfg.timing.freshness());
    let (status, body) = call(&cx, "GET", "catalogue/added", None, "");
    assert_eq!((status, body.contains("\"store-unavailable\"")), (503, true), "{body}");
}
