//! Rules that relate several settings, each of which is in range.

use std::net::SocketAddr;

use super::check::{Checked, Findings};
use super::field::MAX_REACTION_MS;
use super::problem::ProblemKind;
use super::{Limits, REQUEST_BODY_COPIES, Timing};
use crate::net::budget::BudgetLimits;

/// Relation that must hold between two numbers.
#[derive(Clone, Copy, Debug)]
enum Relation {
    Less,
    AtMost,
    AtLeast,
}

struct Rule {
    left: &'static str,
    relation: Relation,
    right: &'static str,
    reason: &'static str,
}

const fn less(left: &'static str, right: &'static str, reason: &'static str) -> Rule {
    Rule { left, relation: Relation::Less, right, reason }
}

const RULES: &[Rule] = &[
    less(
        "timing.freshness_ms",
        "timing.start_window_ms",
        "a start sent at the end of the freshness must still reach the worker before its first lease lapses",
    ),
    less(
        "timing.catalogue_poll_ms",
        "timing.freshness_ms",
        "the catalogue cache would be too old to start anything between two reads",
    ),
    less(
        "timing.schedule_tick_ms",
        "timing.freshness_ms",
        "a scheduler that ticks less often would rarely see a fresh cache",
    ),
    less(
        "timing.share_lease_ms",
        "timing.member_timeout_ms",
        "a process must give up its slots before its peers divide them",
    ),
    less(
        "timing.heartbeat_ms",
        "timing.share_lease_ms",
        "slot shares would lapse between two heartbeats",
    ),
    less(
        "timing.heartbeat_ms",
        "timing.pause_limit_ms",
        "every period between two heartbeats would count as a pause of the process",
    ),
    less(
        "timing.scheduler_lease_ms",
        "timing.hold_time_ms",
        "a successor of the same domain must come before a rescuer",
    ),
    less(
        "timing.hold_time_ms",
        "timing.force_time_ms",
        "a listed rescuer must be able to take over before an unlisted process",
    ),
    Rule {
        left: "timing.task_lease_ms",
        relation: Relation::AtMost,
        right: "timing.hold_time_ms",
        reason: "a task must stop before a rescuer starts it elsewhere",
    },
    Rule {
        left: "timing.default_deadline_ms",
        relation: Relation::AtMost,
        right: "timing.max_deadline_ms",
        reason: "the default deadline must not exceed the longest one that a caller may set",
    },
    Rule {
        left: "timing.drain_ms",
        relation: Relation::AtLeast,
        right: "timing.max_deadline_ms",
        reason: "a planned stop must not interrupt a request in flight",
    },
    Rule {
        left: "limits.connections_per_executor",
        relation: Relation::AtLeast,
        right: "limits.slots_per_executor",
        reason: "each request in a slot occupies a connection",
    },
];

/// Adds a problem for each rule that valid values violate.
pub fn check(findings: &mut Findings) {
    for rule in RULES {
        check_rule(findings, rule);
    }
    check_reaction_time(findings, "timing.vm_poll_ms");
    check_reaction_time(findings, "timing.health_poll_ms");
    check_request_memory(findings);
    check_domains(findings);
    check_addresses(findings);
}

fn check_rule(findings: &mut Findings, rule: &Rule) {
    let (Some(left), Some(right)) = (number(findings, rule.left), number(findings, rule.right))
    else {
        return;
    };
    let (holds, relation) = match rule.relation {
        Relation::Less => (left < right, "less than"),
        Relation::AtMost => (left <= right, "at most"),
        Relation::AtLeast => (left >= right, "at least"),
    };
    if holds {
        return;
    }
    // The defaults satisfy all rules, so the file sets at least one of the two.
    let in_file = [rule.left, rule.right].iter().find_map(|path| findings.value(path));
    let line = in_file.map_or(1, |(line, _)| line);
    let kind = ProblemKind::Contradiction {
        found: left.to_string(),
        allowed: format!("{relation} {} ({right})", rule.right),
        reason: rule.reason,
    };
    findings.report(line, rule.left, kind);
}

/// Checks that the period of a poll plus the timeout of its call is below the longest reaction time.
fn check_reaction_time(findings: &mut Findings, path: &'static str) {
    let timeout_path = "timing.platform_timeout_ms";
    let (Some(poll), Some(timeout)) = (number(findings, path), number(findings, timeout_path))
    else {
        return;
    };
    if poll + timeout < MAX_REACTION_MS {
        return;
    }
    let in_file = [path, timeout_path].iter().find_map(|path| findings.value(path));
    let line = in_file.map_or(1, |(line, _)| line);
    let kind = ProblemKind::Contradiction {
        found: poll.to_string(),
        allowed: format!("less than {MAX_REACTION_MS} minus {timeout_path} ({timeout})"),
        reason: "a leaving target must receive no new work after 5 s",
    };
    findings.report(line, path, kind);
}

/// Checks that the memory for requests holds two with the largest legal body.
fn check_request_memory(findings: &mut Findings) {
    let (path, body_path) = ("limits.request_memory_mb", "limits.max_body_bytes");
    let (Some(memory_mb), Some(body)) = (number(findings, path), number(findings, body_path))
    else {
        return;
    };
    let body = usize::try_from(body).unwrap_or(usize::MAX);
    let needed = BudgetLimits::smallest(body, REQUEST_BODY_COPIES).div_ceil(1 << 20) as u64;
    if memory_mb >= needed {
        return;
    }
    let in_file = [path, body_path].iter().find_map(|path| findings.value(path));
    let line = in_file.map_or(1, |(line, _)| line);
    let kind = ProblemKind::Contradiction {
        found: memory_mb.to_string(),
        allowed: format!("at least {needed} with {body_path} ({body})"),
        reason: "a single request of the largest legal size would be refused",
    };
    findings.report(line, path, kind);
}

fn check_domains(findings: &mut Findings) {
    let Some((_, Checked::Names(domains))) = findings.value("domains") else { return };
    let domains = domains.clone();
    let mut references = Vec::new();
    if let Some((line, Checked::Text(domain))) = findings.value("domain") {
        references.push(("domain".to_owned(), line, domain.clone()));
    }
    for (path, line, value) in findings.values_below("peers[") {
        if let Checked::Text(domain) = value {
            references.push((path.to_owned(), line, domain.clone()));
        }
    }
    references.retain(|(_, _, domain)| !domains.contains(domain));
    for (path, line, domain) in references {
        let kind = ProblemKind::Contradiction {
            found: format!("{domain:?}"),
            allowed: format!("one of domains ({})", domains.join(", ")),
            reason: "every failure domain must be listed",
        };
        findings.report(line, &path, kind);
    }
}

fn check_addresses(findings: &mut Findings) {
    let listen = address(findings, "listen");
    let peer_listen = address(findings, "peer_listen");
    if let (Some((_, listen)), Some((line, peer_listen))) = (listen, peer_listen)
        && is_same_socket(listen, peer_listen)
    {
        let kind = ProblemKind::Contradiction {
            found: peer_listen.to_string(),
            allowed: format!("another port than listen ({listen})"),
            reason: "callers and peers speak different protocols",
        };
        findings.report(line, "peer_listen", kind);
    }
    let mut colliding = Vec::new();
    for prefix in ["peers[", "platform.", "statsd"] {
        for (path, line, value) in findings.values_below(prefix) {
            let Checked::Address(other) = value else { continue };
            for (own_path, own) in [("listen", listen), ("peer_listen", peer_listen)] {
                if own.is_some_and(|(_, own)| is_same_socket(own, *other)) && prefix != "statsd" {
                    colliding.push((path.to_owned(), line, *other, own_path));
                }
            }
        }
    }
    for (path, line, other, own_path) in colliding {
        let kind = ProblemKind::Contradiction {
            found: other.to_string(),
            allowed: format!("another address than {own_path}"),
            reason: "the process would call itself",
        };
        findings.report(line, &path, kind);
    }
}

/// True if connecting to `other` may reach this process's socket at `own`: the ports are equal, and so are the IP
/// addresses, unless `own` listens on all of them.
fn is_same_socket(own: SocketAddr, other: SocketAddr) -> bool {
    let same_ip = own.ip() == other.ip() || own.ip().is_unspecified();
    own.port() != 0 && own.port() == other.port() && same_ip
}

fn address(findings: &Findings, path: &str) -> Option<(u64, SocketAddr)> {
    match findings.value(path) {
        Some((line, Checked::Address(address))) => Some((line, *address)),
        _ => None,
    }
}

/// Returns the number in the file or its default; `None` if the value in the file is not valid.
fn number(findings: &Findings, path: &str) -> Option<u64> {
    match findings.value(path) {
        Some((_, Checked::Number(number))) => Some(*number),
        Some(_) => None,
        None if findings.has_problem(path) => None,
        None => default_number(path),
    }
}

/// Returns the default of a number in `timing` or `limits`; `None` for other settings.
#[must_use]
pub fn default_number(path: &str) -> Option<u64> {
    let (section, key) = path.split_once('.')?;
    let defaults = match section {
        "timing" => serde_json::to_value(Timing::default()).ok()?,
        "limits" => serde_json::to_value(Limits::default()).ok()?,
        _ => return None,
    };
    defaults.get(key)?.as_u64()
}
