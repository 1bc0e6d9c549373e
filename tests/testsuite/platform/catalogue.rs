//! The catalogue's copy and the operators' interface to it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arbtest::arbtest;
use plantainlever::catalogue::CatalogueCopy;
use plantainlever::clock::SystemClock;
use plantainlever::local::{History, table::MemoryTable};
use plantainlever::ops::api::{ApiRequest, ApiResponse, catalogue, domains};
use plantainlever::ops::{Context, sync};
use plantainlever::platform::table::{ReadRequest, ReadResponse, Row, Table};
use serde_json::{Value, json};

use super::{InProcess, context, threaded};

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
    let ApiResponse { status, body } = if path.starts_with("domains") {
        domains::handle(cx, &req)
    } else {
        catalogue::handle(cx, &req)
    };
    (status, String::from_utf8(body).expect("JSON is UTF-8"))
}

fn owner(cpu_millis: u64) -> String {
    json!({"kind": "owner", "quota": {"cpu_millis": cpu_millis, "memory_mb": 1}}).to_string()
}

/// Guards against promise 10's "never reverts": an older answer, a repeated one or a gap must not change the copy.
#[test]
fn copy_never_reverts_under_shuffled_answers() {
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
            // An answer to a reader that had seen everything up to `base`.
            let base = u.int_in_range(0..=revision)?;
            let changed = rows.iter().filter(|row| row.revision > base).cloned().collect();
            answers.push((base, ReadResponse { revision, rows: changed }));
        }
        let now = Instant::now();
        let mut copy = CatalogueCopy::default();
        for _ in 0..u.int_in_range(1..=80)? {
            let (base, response) = u.choose(&answers)?;
            let before = copy.clone();
            let age = Duration::from_millis(u.int_in_range(0..=1_000)?);
            let taken = copy.apply(*base, response, now + age);
            assert_eq!(taken, response.revision >= before.revision() && *base <= before.revision());
            assert!(copy.revision() >= before.revision());
            assert!(copy.confirmed_at() >= before.confirmed_at());
            for row in &before.changes_after(0).rows {
                let after = copy.changes_after(0);
                assert!(after.row(&row.key).is_some_and(|held| held.revision >= row.revision));
            }
            // Whatever was skipped, the copy equals the table at the copy's revision.
            for number in 0..4 {
                let written = answers.iter().flat_map(|(_, answer)| &answer.rows);
                let newest = written
                    .filter(|row| row.key == key(number) && row.revision <= copy.revision())
                    .max_by_key(|row| row.revision);
                let name = format!("d{number}");
                let expected = newest.filter(|row| row.value.is_some()).map(|row| row.revision);
                assert_eq!(copy.document_revision(&name), expected);
                assert_eq!(copy.document(&name).is_some(), expected.is_some());
            }
        }
        Ok(())
    })
    .budget_ms(1_000);
}

/// Guards against two operators who both believe that their conflicting edit is in force.
#[test]
fn one_of_two_racing_editors_wins() {
    let table: Arc<dyn Table> = Arc::new(MemoryTable::new(History::default()));
    let processes = ["p1", "p2"].map(|process| {
        let commits = threaded(Arc::clone(&table), 1_000);
        context(process, Arc::clone(&table), Arc::new(SystemClock), commits)
    });
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
    for cx in processes {
        cx.commits.close();
    }
}

/// Guards against an edit that fails because another document was edited, and against lost entries of the history.
#[test]
fn editors_of_different_documents_do_not_hinder_each_other() {
    const EDITORS: u64 = 6;
    const EDITS: u64 = 5;
    let table: Arc<dyn Table> = Arc::new(MemoryTable::new(History::default()));
    let commits = threaded(Arc::clone(&table), 1_000);
    let cx = &context("p1", table, Arc::new(SystemClock), commits);
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

/// Guards against "accepted" without a certain commit, and against "failed" with a possible one.
#[test]
fn edits_during_store_faults_say_what_is_certain() {
    let t = InProcess::new();
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
    // Reads go on from the copy.
    assert_eq!(call(&cx, "GET", "catalogue", None, "").0, 200);

    t.faults.set_down(false);
    t.faults.lose_answers(u32::MAX);
    let (status, body) = call(&cx, "PUT", "domains/b", None, out);
    assert_eq!((status, body.contains("\"code\":\"outcome-unknown\"")), (504, true), "{body}");
    t.faults.lose_answers(0);

    // Slow, but inside the timeout: accepted, and the own copy shows it at once.
    t.faults.set_delay(Duration::from_millis(900));
    let accepted = "{\"name\":\"a\",\"state\":\"out\",\"revision\":2}";
    assert_eq!(call(&cx, "PUT", "domains/a", None, out), (200, accepted.to_owned()));
    assert_eq!(call(&cx, "GET", "domains/a", None, ""), (200, accepted.to_owned()));
}

/// Guards against edits that are applied in part or by guess, and against messages that don't say what to do.
#[test]
fn bad_input_gets_its_own_exact_error() {
    let t = InProcess::new();
    let cx = t.context("p1");
    sync::refresh(&cx).unwrap();
    let exact = |method, path, if_match, body: &str, status, expected: &str| {
        let reply = call(&cx, method, path, if_match, body);
        assert_eq!(reply, (status, format!("{{\"error\":{expected}}}")));
    };
    let entry = |change: &str| {
        format!(
            "{{\"kind\":\"entry\",\"owner\":\"roads\",\"class\":\"batch\",\"limits\":{{\"per_task\":\
             {{\"cpu_millis\":1,\"memory_mb\":1}}}}{change}}}"
        )
    };
    exact(
        "PUT",
        "catalogue/n",
        None,
        &owner(1),
        428,
        r#"{"code":"revision-required","message":"an edit needs the header If-Match","hint":"send the number in \"revision\" of the last GET, or 0 for a new document"}"#,
    );
    exact(
        "PUT",
        "catalogue/n",
        Some("new"),
        &owner(1),
        400,
        r#"{"code":"malformed-header","message":"If-Match is \"new\", which is no revision","hint":"send the number in \"revision\" of the last GET, or 0 for something new"}"#,
    );
    exact(
        "PUT",
        "catalogue/n",
        Some("0"),
        "{",
        400,
        r#"{"code":"malformed-body","message":"the body cannot be read: EOF while parsing an object at line 1 column 1","hint":"send a JSON object with the documented fields only"}"#,
    );
    exact(
        "PUT",
        "catalogue/N",
        Some("0"),
        &owner(1),
        422,
        r#"{"code":"bad-name","message":"the name \"N\" must have 1 to 63 characters out of a-z, 0-9 and '-'","hint":"choose another name"}"#,
    );
    exact(
        "PUT",
        "catalogue/n",
        Some("0"),
        &entry(r#","priority":10"#),
        422,
        r#"{"code":"priority-too-high","message":"priority 10 is above 9","hint":"use a priority of 0 to 9"}"#,
    );
    exact(
        "PUT",
        "catalogue/n",
        Some("0"),
        &entry(r#","domains":["a","z"]"#),
        422,
        r#"{"code":"unknown-domain","message":"\"domains\" names \"z\", which is no failure domain","hint":"the failure domains are a, b"}"#,
    );
    exact(
        "PUT",
        "catalogue/n",
        Some("7"),
        &owner(1),
        409,
        r#"{"code":"lost-race","message":"the change of \"n\" is based on revision 7, but it does not exist","hint":"get the current content, apply your change to it and send it with its revision","revision":0}"#,
    );
    exact(
        "GET",
        "catalogue/n",
        None,
        "",
        404,
        r#"{"code":"unknown-document","message":"the catalogue has no document \"n\"","hint":"see the names with GET /v1/catalogue; create it with PUT and If-Match: 0"}"#,
    );
    exact(
        "DELETE",
        "catalogue/n",
        None,
        "",
        405,
        r#"{"code":"method-not-allowed","message":"DELETE is not possible here","hint":"use GET or PUT"}"#,
    );
    exact(
        "PUT",
        "domains/z",
        None,
        "{\"state\":\"out\"}",
        404,
        r#"{"code":"unknown-domain","message":"\"z\" is no failure domain","hint":"the failure domains are a, b"}"#,
    );
    exact(
        "PUT",
        "domains/a",
        None,
        "{\"state\":\"off\"}",
        400,
        r#"{"code":"malformed-body","message":"the body cannot be read: unknown variant `off`, expected `in` or `out` at line 1 column 14","hint":"send a JSON object with the documented fields only"}"#,
    );
    exact(
        "PUT",
        "domains/a",
        Some("3"),
        "{\"state\":\"out\"}",
        409,
        r#"{"code":"lost-race","message":"the change of \"a\" is based on revision 3, but it does not exist","hint":"get the current content, apply your change to it and send it with its revision","revision":0}"#,
    );
    let all = ReadRequest { prefixes: vec![String::new()], ..ReadRequest::default() };
    assert_eq!(t.table.read(&all).unwrap(), ReadResponse::default());
}

/// Guards against answers whose form operators' scripts don't expect.
#[test]
fn answers_show_documents_and_domains_with_their_revisions() {
    let t = InProcess::new();
    let cx = t.context("p1");
    assert_eq!(call(&cx, "GET", "catalogue", None, "").0, 503);
    assert_eq!(
        call(&cx, "PUT", "catalogue/team", Some("\"0\""), &owner(7)),
        (200, r#"{"name":"team","revision":1}"#.to_owned())
    );
    let document = r#"{"name":"team","revision":1,"document":{"kind":"owner","quota":{"cpu_millis":7,"memory_mb":1,"accelerators":0}}}"#;
    assert_eq!(call(&cx, "GET", "catalogue/team", None, ""), (200, document.to_owned()));
    let list = format!(r#"{{"revision":1,"age_ms":0,"documents":[{document}]}}"#);
    assert_eq!(call(&cx, "GET", "catalogue", None, ""), (200, list));
    call(&cx, "PUT", "domains/b", Some("0"), r#"{"state":"out"}"#);
    let list = r#"{"domains":[{"name":"a","state":"in","revision":0},{"name":"b","state":"out","revision":2}]}"#;
    assert_eq!(call(&cx, "GET", "domains", None, ""), (200, list.to_owned()));
    let history =
        r#"{"changes":[{"name":"team","revision":1,"replaced":0,"unix_ms":0,"process":"p1"}]}"#;
    assert_eq!(call(&cx, "GET", "catalogue?history", None, ""), (200, history.to_owned()));
}
