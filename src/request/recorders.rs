//! Which entry processes are asked about an idempotency key.
//!
//! A quorum of at most [`QUORUM`] processes is chosen per key by rendezvous hashing, so that the cost of a key does not
//! grow with the fleet and two processes that claim the same key ask the same quorum. The processes of the own domain
//! are asked too: where a domain is cut off, their records are all that is left of a first attempt. A repeat therefore
//! asks every other domain as well.

use std::collections::{BTreeMap, BTreeSet};

use crate::peer::Member;

/// Processes whose majority decides. All of today's entry VMs of a small site, and a bounded share of a fleet.
pub const QUORUM: usize = 7;

/// Processes that a repeat asks in each other domain, so that a dead one does not hide its domain.
const PER_DOMAIN: usize = 2;

/// The processes to ask about one key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recorders {
    /// Names of the processes whose majority decides.
    pub quorum: BTreeSet<String>,
    /// Domains of which at least one process must have answered before a repeat may run.
    pub domains: BTreeSet<String>,
    /// All processes to ask, by name; the asking process is left out.
    pub asked: BTreeMap<String, Member>,
}

impl Recorders {
    /// Chooses the processes for a key. `is_repeat` is true unless the caller says that the request is new.
    #[must_use]
    pub fn choose(
        directory: &BTreeMap<String, Member>,
        own: &str,
        key: &str,
        is_repeat: bool,
    ) -> Self {
        let mut ranked: Vec<&Member> = directory.values().collect();
        ranked.sort_by_key(|member| (weight(key, &member.process), &member.process));
        let own_domain = directory.get(own).map(|member| member.domain.as_str());
        let mut recorders = Self::default();
        let mut per_domain: BTreeMap<&str, usize> = BTreeMap::new();
        for member in ranked {
            let in_quorum = recorders.quorum.len() < QUORUM;
            if in_quorum {
                recorders.quorum.insert(member.process.clone());
            }
            let asked = per_domain.entry(&member.domain).or_default();
            let speaks_for_domain = is_repeat && *asked < PER_DOMAIN;
            if in_quorum || speaks_for_domain || own_domain == Some(member.domain.as_str()) {
                *asked += 1;
                recorders.asked.insert(member.process.clone(), member.clone());
            }
        }
        if is_repeat {
            recorders.domains = directory.values().map(|member| member.domain.clone()).collect();
        }
        recorders.asked.remove(own);
        recorders
    }

    /// True if `votes` contains more than half of the quorum.
    #[must_use]
    pub fn is_majority(&self, votes: &BTreeSet<String>) -> bool {
        let voted = self.quorum.intersection(votes).count();
        !self.quorum.is_empty() && voted > self.quorum.len() / 2
    }
}

/// FNV-1a over key and process: the same in every process and build.
fn weight(key: &str, process: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(process.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
