//! Queries to peers about a hold, and probes of whether they answer.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::domain::ClaimantClass;
use crate::ops::Context;
use crate::peer::{HoldQuery, Member};

/// Epoch of a query that only probes whether the addressee answers. No hold has this epoch.
pub(super) const PROBE_EPOCH: u64 = 0;

const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Queries all processes concurrently, and returns those that answered with a promise. An answer to [`PROBE_EPOCH`]
/// binds no process.
pub(super) fn query_promises(
    cx: &Context,
    domain: &str,
    epoch: u64,
    class: ClaimantClass,
    processes: &BTreeSet<String>,
) -> BTreeSet<String> {
    let directory = cx.directory.snapshot();
    let members: Vec<&Member> = processes.iter().filter_map(|name| directory.get(name)).collect();
    std::thread::scope(|scope| {
        let asked: Vec<_> = members
            .iter()
            .map(|member| scope.spawn(|| query_one(cx, domain, epoch, class, member)))
            .collect();
        let answers = asked.into_iter().map(|thread| thread.join().unwrap_or(false));
        let promised = members.iter().zip(answers).filter(|(_, promised)| *promised);
        promised.map(|(member, _)| member.process.clone()).collect()
    })
}

fn query_one(
    cx: &Context,
    domain: &str,
    epoch: u64,
    class: ClaimantClass,
    member: &Member,
) -> bool {
    let query =
        HoldQuery { domain: domain.to_owned(), epoch, addressee: member.process.clone(), class };
    let answer = cx.peers.query_hold(&member.peer_address, query, QUERY_TIMEOUT);
    answer.is_ok_and(|answer| answer.promised)
}

/// Returns true if the process answers a probe.
pub(super) fn is_alive(cx: &Context, domain: &str, process: &str) -> bool {
    let processes = BTreeSet::from([process.to_owned()]);
    !query_promises(cx, domain, PROBE_EPOCH, ClaimantClass::Unlisted, &processes).is_empty()
}
