//! Cuts the owner of the shard off from the store and from half of the workers, and all other processes from the other
//! half, for longer than the owner may renew leases and its successor waits for them.

use std::time::{Duration, Instant};

use base64::Engine;
use base64::prelude::BASE64_STANDARD;

use crate::link::Link;

use super::SoakCluster;
use super::serve::lock;
use super::world::World;

/// Time from the start of the faults to the cut, so that tasks run by then.
const CUT_AFTER: Duration = Duration::from_secs(2);

/// Length of the cut: an ownership lease of 7 s, the longest lease of a run on a slow clock, and some time for the
/// successor to start tasks.
const CUT_TIME: Duration = Duration::from_secs(16);

/// The cut of one run.
#[derive(Debug)]
pub(super) enum OwnerCut {
    /// It begins at this time.
    Due(Instant),
    /// It ends at this time. The process with the index was the owner.
    Active(Instant, usize),
    /// It has ended.
    Over,
}

impl OwnerCut {
    pub(super) fn new() -> Self {
        Self::Due(Instant::now() + CUT_AFTER)
    }

    /// Begins or ends the cut if it is time, and returns the description.
    pub(super) fn change_if_due(&mut self, cluster: &SoakCluster) -> Option<String> {
        let now = Instant::now();
        match *self {
            Self::Due(at) if now >= at => {
                let owner = owner(cluster)?;
                cut_links(cluster, owner).for_each(Link::cut);
                *self = Self::Active(now + CUT_TIME, owner);
                Some(format!("the owner, process {owner}, is cut off for {CUT_TIME:?}"))
            }
            Self::Active(until, owner) if now < until => {
                lock(&cluster.world).contact.disrupt_node(owner);
                None
            }
            Self::Active(_, owner) => {
                cut_links(cluster, owner).for_each(Link::heal);
                *self = Self::Over;
                Some(format!("process {owner} is no longer cut off"))
            }
            Self::Due(_) | Self::Over => None,
        }
    }
}

/// Index of the process that the store names as the owner.
pub(super) fn owner(cluster: &SoakCluster) -> Option<usize> {
    let world = lock(&cluster.world);
    let row = ("owners".to_owned(), "s0".to_owned(), "owner".to_owned());
    let (_, index) = parse_owner(world.rows.get(&row)?.1.as_ref()?)?;
    index.filter(|index| *index < cluster.nodes.len())
}

/// Epoch of an owner row and index of the owner, which a released shard has not.
fn parse_owner(value: &str) -> Option<(u64, Option<usize>)> {
    let row: serde_json::Value =
        serde_json::from_slice(&BASE64_STANDARD.decode(value).ok()?).ok()?;
    let index = row["vm"].as_str()?.strip_prefix("vm-").and_then(|index| index.parse().ok());
    Some((row["epoch"].as_u64()?, index))
}

impl World {
    /// Records that an owner row is written. If other rows change beside the writes, reports a breach for a shard that
    /// changes its owner while the previous one is in touch: that one has given it up for nothing.
    pub(super) fn record_owner(&mut self, value: &str) {
        let Some((epoch, owner)) = parse_owner(value) else { return };
        let previous = self.owners.last().and_then(|(.., owner)| *owner);
        self.owners.push((Instant::now(), epoch, owner));
        let Some(previous) = previous else { return };
        let is_in_touch = self.contact.has_been_in_touch(previous, Duration::ZERO);
        if self.unrelated_changes.is_some() && is_in_touch {
            self.breaches.push(format!(
                "the shard changes to {owner:?} in epoch {epoch} {:.3} s after the start of the faults, while process \
                 {previous} is in touch",
                self.seconds(Instant::now())
            ));
        }
    }

    /// Descriptions of the changes of the owner.
    pub(super) fn describe_owners(&self) -> impl Iterator<Item = String> {
        self.owners.iter().map(|(at, epoch, owner)| match owner {
            Some(owner) => {
                format!("{:.1} s: epoch {epoch} is of process {owner}", self.seconds(*at))
            }
            None => format!("{:.1} s: epoch {epoch} has no owner", self.seconds(*at)),
        })
    }
}

/// Links of the owner to the store and to each second worker, and of the other processes to the remaining workers.
fn cut_links(cluster: &SoakCluster, owner: usize) -> impl Iterator<Item = &Link> {
    let to_workers = cluster.worker_links.iter().enumerate().flat_map(move |(worker, links)| {
        let is_near_owner = worker % 2 == 0;
        let of_nodes = links.iter().enumerate();
        of_nodes.filter(move |(node, _)| (*node == owner) != is_near_owner).map(|(_, link)| link)
    });
    cluster.store_links[owner].iter().chain(to_workers)
}
