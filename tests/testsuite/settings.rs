//! Tests of settings.

use plantainlever::config;
use plantainlever::ops::dev::config::DevConfig;

/// A valid file with the required settings only.
const VALID: &str = "\
name: entry-a1
domain: dc-a
domains: [dc-a, dc-b]
listen: 127.0.0.1:7280
peer_listen: 127.0.0.1:7281
platform:
  table: 127.0.0.1:7290
  objects: 127.0.0.1:7291
  vms: 127.0.0.1:7292
";

fn problems(text: &str) -> Vec<String> {
    match config::parse("f", text) {
        Ok(_) => Vec::new(),
        Err(error) => error.to_string().lines().map(str::to_owned).collect(),
    }
}

/// Returns the problems of the valid file with `more` appended, which begins at line 10.
fn problems_with(more: &str) -> Vec<String> {
    problems(&format!("{VALID}{more}"))
}

fn replaced(from: &str, to: &str) -> Vec<String> {
    assert!(VALID.contains(from), "{from} is not in the valid file");
    problems(&VALID.replace(from, to))
}

/// Guards against defaults that the checks refuse, and against required settings that the type lacks.
#[test]
fn a_file_with_the_required_settings_only_is_valid() {
    let settings = config::parse("f", VALID).unwrap();
    assert_eq!(settings.timing, config::Timing::default());
    assert_eq!(settings.limits, config::Limits::default());
}

/// Guards against a misspelt key that is ignored, so that the default stays in force.
#[test]
fn an_unknown_setting_is_reported_with_what_is_allowed() {
    assert_eq!(
        problems_with("log:\n  levle: debug\n"),
        ["f:11: log.levle: no such setting; allowed here: level, spans, span_percent"]
    );
}

/// Guards against settings with which a start could take effect more than 5 s after its domain went out of service.
#[test]
fn numbers_out_of_range_are_reported() {
    for (more, expected) in [
        (
            "timing:\n  start_window_ms: 4501\n",
            "f:11: timing.start_window_ms: found 4501; allowed: 20 to 4500 ms",
        ),
        (
            "limits:\n  queue_length: 0\n",
            "f:11: limits.queue_length: found 0; allowed: 1 to 1048576 requests",
        ),
        (
            "limits:\n  retry_percent: 11\n",
            "f:11: limits.retry_percent: found 11; allowed: 0 to 10 %",
        ),
        ("timing:\n  vm_poll_ms: -1\n", "f:11: timing.vm_poll_ms: found -1; allowed: 1 to 4999 ms"),
    ] {
        assert_eq!(problems_with(more), [expected]);
    }
}

/// Guards against settings that are each in range but together violate a guarantee.
#[test]
fn contradictions_are_reported_with_their_reason() {
    for (more, expected) in [
        (
            "timing:\n  freshness_ms: 4000\n",
            "f:11: timing.freshness_ms: found 4000; allowed: less than timing.start_window_ms (4000), because a start \
             sent at the end of the freshness must still reach the worker before its first lease lapses",
        ),
        (
            "timing:\n  share_lease_ms: 2500\n",
            "f:11: timing.share_lease_ms: found 2500; allowed: less than timing.member_timeout_ms (2500), because a \
             process must give up its slots before its peers divide them",
        ),
        (
            "timing:\n  drain_ms: 59999\n",
            "f:11: timing.drain_ms: found 59999; allowed: at least timing.max_deadline_ms (60000), because a planned \
             stop must not interrupt a request in flight",
        ),
        (
            "timing:\n  health_poll_ms: 4000\n",
            "f:11: timing.health_poll_ms: found 4000; allowed: less than 5000 minus timing.platform_timeout_ms (1000), \
             because a leaving target must receive no new work after 5 s",
        ),
        (
            "limits:\n  request_memory_mb: 5\n",
            "f:11: limits.request_memory_mb: found 5; allowed: at least 6 with limits.max_body_bytes (1048576), because a \
             single request of the largest legal size would be refused",
        ),
        (
            "peers:\n- domain: dc-c\n  address: 127.0.0.1:7283\n",
            "f:11: peers[0].domain: found \"dc-c\"; allowed: one of domains (dc-a, dc-b), because every failure \
             domain must be listed",
        ),
    ] {
        assert_eq!(problems_with(more), [expected]);
    }
}

/// Guards against a file that was valid before the memory for requests was bounded, and is refused since.
#[test]
fn the_largest_legal_body_fits_into_the_default_memory() {
    assert_eq!(problems_with("limits:\n  max_body_bytes: 16777216\n"), Vec::<String>::new());
}

#[test]
fn a_domain_that_is_not_listed_is_reported() {
    assert_eq!(
        replaced("domain: dc-a", "domain: dc-c"),
        [
            "f:2: domain: found \"dc-c\"; allowed: one of domains (dc-a, dc-b), because every failure domain must be \
             listed"
        ]
    );
}

/// Guards against a process that fails to bind its second port after the first one already accepts connections.
#[test]
fn equal_ports_are_reported() {
    assert_eq!(
        replaced("127.0.0.1:7281", "127.0.0.1:7280"),
        [
            "f:5: peer_listen: found 127.0.0.1:7280; allowed: another port than listen (127.0.0.1:7280), because \
             callers and peers speak different protocols"
        ]
    );
}

#[test]
fn values_of_another_type_are_reported() {
    assert_eq!(
        replaced("listen: 127.0.0.1:7280", "listen: localhost"),
        ["f:4: listen: found \"localhost\"; allowed: IP:PORT"]
    );
    assert_eq!(
        replaced("127.0.0.1:7290", "127.0.0.1:0"),
        [
            "f:7: platform.table: found \"127.0.0.1:0\"; allowed: IP:PORT of another process, with a port above 0"
        ]
    );
    assert_eq!(
        replaced("[dc-a, dc-b]", "[dc-a, dc-a]"),
        ["f:3: domains: found \"dc-a\" twice; allowed: each name once"]
    );
}

/// Guards against a check that stops at the first error, so that operators need one start per error.
#[test]
fn all_problems_of_a_file_are_reported_together_in_file_order() {
    let text = "name: A\nlisten: 127.0.0.1:0\ntiming:\n  drain_ms: fast\n  x: 1\n";
    let fields: Vec<String> =
        problems(text).iter().map(|line| line.splitn(4, ':').take(3).collect()).collect();
    assert_eq!(
        fields,
        [
            "f1 domain",
            "f1 domains",
            "f1 name",
            "f1 peer_listen",
            "f1 platform",
            "f4 timing.drain_ms",
            "f5 timing.x"
        ]
    );
}

#[test]
fn text_that_is_not_yaml_is_reported_with_its_line() {
    let found = problems("name: a\nlisten: [1\n");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("f:2: -: the file is not valid YAML: "), "{}", found[0]);
}

/// Guards against a setting of the type that is refused or not checked in a file.
#[test]
fn fields_and_type_have_the_same_settings() {
    let text = format!(
        "{VALID}statsd: 127.0.0.1:8125\npeers:\n- domain: dc-b\n  address: 127.0.0.1:7283\n"
    );
    let settings = config::parse("f", &text).unwrap();
    let mut in_type = Vec::new();
    leaves(&serde_json::to_value(settings).unwrap(), "", &mut in_type);
    let mut in_fields: Vec<String> =
        config::field::FIELDS.iter().map(|field| field.path.to_owned()).collect();
    in_type.sort();
    in_fields.sort();
    assert_eq!(in_type, in_fields);
}

fn leaves(value: &serde_json::Value, path: &str, found: &mut Vec<String>) {
    match value {
        serde_json::Value::Object(fields) => {
            for (key, value) in fields {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                leaves(value, &path, found);
            }
        }
        serde_json::Value::Array(items) if items.iter().all(serde_json::Value::is_object) => {
            items.iter().for_each(|item| leaves(item, &format!("{path}[]"), found));
        }
        _ => found.push(path.to_owned()),
    }
}

/// Guards against a page whose units, defaults or ranges differ from those in force.
#[test]
fn every_setting_is_on_the_page_with_unit_default_and_range() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let section = page.split("\n## Settings\n").nth(1).unwrap();
    let section = section.split("\n## ").next().unwrap();
    let on_page: Vec<&str> = section.lines().filter(|line| line.starts_with("| `")).collect();
    let mut expected = Vec::new();
    for field in config::field::FIELDS {
        let unit = match field.kind {
            config::field::Kind::Number(_, _, unit) => unit,
            _ => "-",
        };
        let default = if field.required { "required".to_owned() } else { default(field.path) };
        let allowed = config::check::expected(field.kind);
        expected.push(format!("| `{}` | {unit} | {default} | {allowed} | ", field.path));
    }
    for (line, expected) in on_page.iter().zip(&expected) {
        assert!(line.starts_with(expected.as_str()), "found    {line}\nexpected {expected}");
        assert!(line.len() > expected.len() + 20, "no reason: {line}");
    }
    assert_eq!(on_page.len(), expected.len());
}

fn default(path: &str) -> String {
    let (section, key) = path.split_once('.').unwrap_or((path, ""));
    let value = match section {
        "timing" => serde_json::to_value(config::Timing::default()).unwrap(),
        "limits" => serde_json::to_value(config::Limits::default()).unwrap(),
        "log" => serde_json::to_value(config::LogSettings::default()).unwrap(),
        _ => return "none".to_owned(),
    };
    value[key].as_str().map_or_else(|| value[key].to_string(), str::to_owned)
}

fn dev_problems(text: &str) -> Vec<String> {
    match DevConfig::parse("f", text) {
        Ok(_) => Vec::new(),
        Err(error) => error.to_string().lines().map(str::to_owned).collect(),
    }
}

/// Guards against example files that are no longer valid, or whose sizes differ from the deployments'.
#[test]
fn the_example_files_are_valid_and_have_the_deployments_sizes() {
    for (name, text, workers) in [
        ("hamutenya", include_str!("../../examples/hamutenya.yaml"), 65),
        ("hsinchu", include_str!("../../examples/hsinchu.yaml"), 50),
    ] {
        assert_eq!(dev_problems(text), Vec::<String>::new(), "{name}");
        let cfg = DevConfig::parse(name, text).unwrap();
        assert_eq!(cfg.domains.len(), 3, "{name}");
        assert_eq!(cfg.domains.iter().flat_map(|it| &it.racks).sum::<usize>(), workers, "{name}");
        assert!((6..=9).contains(&(cfg.entries_per_domain * cfg.domains.len())), "{name}");
    }
}

#[test]
fn problems_of_a_dev_file_are_reported_with_their_lines() {
    let text = "\
entries_per_domain: 0
domains:
  - { name: a, racks: [0] }
  - { name: a, racks: [4] }
services:
  - { name: nothing, executors_per_domain: 1 }
timing:
  freshness_ms: 4000
";
    assert_eq!(
        dev_problems(text),
        [
            "f:1: entries_per_domain: found 0; allowed: 1 to 200 in a domain",
            "f:3: domains[0].racks: found 0; allowed: 1 to 200 in a domain",
            "f:4: domains[1].name: found \"a\" twice; allowed: each name once",
            "f:6: services[0].name: found \"nothing\"; allowed: the name of a document of the catalogue",
            "f:8: timing.freshness_ms: found 4000; allowed: less than timing.start_window_ms (4000), because a start \
             sent at the end of the freshness must still reach the worker before its first lease lapses",
        ]
    );
    assert_eq!(dev_problems("domain: a\n").len(), 1);
    assert!(
        dev_problems("domain: a\n")[0]
            .starts_with("f:1: -: the file is not valid YAML: unknown field")
    );
}
