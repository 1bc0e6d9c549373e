//! Chooses the entry processes that are asked about an idempotency key.
//!
//! At most [`MAX_VOTERS`] voters are chosen per key by rendezvous hashing, so that the cost of a key does not grow with
//! the number of processes, and two processes that claim the same key ask the same voters. All processes of the asking
//! process's domain are asked too: in a domain that is cut off, only they have a record of a first attempt. A retry
//! therefore asks every other domain as well.

use std::collections::{BTreeMap, BTreeSet};

use crate::peer::Member;

/// Largest number of voters per key. Small sites have fewer entry processes, so all of them vote.
pub const MAX_VOTERS: usize = 7;

/// A retry asks at least this many processes of each other domain, if it has them, so that a dead one does not leave
/// its domain without an answer.
const MIN_RETRY_ASKED_PER_DOMAIN: usize = 2;

/// The processes to ask about one key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recorders {
    /// Names of the processes of which a majority decides.
    pub voters: BTreeSet<String>,
    /// Domains of which at least one process must record the claim before a retry may run; empty for a first attempt.
    pub domains: BTreeSet<String>,
    /// All processes to ask, by name; the asking process is left out.
    pub asked: BTreeMap<String, Member>,
}

impl Recorders {
    /// Chooses the processes for a key. `is_retry` is true unless the caller asserts that this is its first attempt.
    #[must_use]
    pub fn choose(
        directory: &BTreeMap<String, Member>,
        own: &str,
        key: &str,
        is_retry: bool,
    ) -> Self {
        let mut ranked: Vec<&Member> = directory.values().collect();
        ranked.sort_by_key(|member| (weight(key, &member.process), &member.process));
        let own_domain = directory.get(own).map(|member| member.domain.as_str());
        let mut recorders = Self::default();
        let mut per_domain: BTreeMap<&str, usize> = BTreeMap::new();
        for member in ranked {
            let is_voter = recorders.voters.len() < MAX_VOTERS;
            if is_voter {
                recorders.voters.insert(member.process.clone());
            }
            let asked = per_domain.entry(&member.domain).or_default();
            let asked_for_domain = is_retry && *asked < MIN_RETRY_ASKED_PER_DOMAIN;
            if is_voter || asked_for_domain || own_domain == Some(member.domain.as_str()) {
                *asked += 1;
                recorders.asked.insert(member.process.clone(), member.clone());
            }
        }
        if is_retry {
            recorders.domains = directory.values().map(|member| member.domain.clone()).collect();
        }
        recorders.asked.remove(own);
        recorders
    }

    /// True if `votes` contains more than half of the voters. False if there are no voters.
    #[must_use]
    pub fn has_majority(&self, votes: &BTreeSet<String>) -> bool {
        let voted = self.voters.intersection(votes).count();
        !self.voters.is_empty() && voted > self.voters.len() / 2
    }
}

/// Hash of key and process (FNV-1a), which is the same in every process and build.
fn weight(key: &str, process: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(process.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
