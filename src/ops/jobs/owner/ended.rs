//! Removes ended jobs from the store: their descriptions soon, their rows once their state need no longer be kept.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::job::JobId;
use crate::job::progress::ProgressRow;
use crate::ops::jobs::layout;
use crate::port::{Commit, CommitOutcome, RowStore};
use crate::shard::scheduler::RowId;

use super::ShardOwner;

/// Time between two rounds that drop the descriptions of ended jobs. A new owner has to read those that are left.
const DESCRIPTION_DROP_PERIOD: Duration = Duration::from_millis(4_000);

/// Time between two rounds that remove the rows of jobs that ended more than `keep_ended` ago.
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);

/// Jobs in one transaction of at most 100 entries; dropping a description takes a write and a removal.
const JOBS_PER_TRANSACTION: usize = 48;

/// Removals in one transaction, which also has a condition.
const REMOVALS_PER_TRANSACTION: usize = 90;

/// Removes the rows of jobs that ended more than `keep_ended` ago. A job whose description is still stored keeps them:
/// without its progress it would be one that has not begun.
pub(super) async fn expire_jobs<P: RowStore>(owner: Rc<ShardOwner<P>>) {
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        let now = owner.node.clock.boot();
        let due: Vec<JobId> = owner
            .expiring
            .borrow()
            .iter()
            .take_while(|(since, id)| {
                now.saturating_sub(*since) >= owner.node.cfg.keep_ended
                    && !owner.ended_jobs.borrow().contains(id)
            })
            .take(JOBS_PER_TRANSACTION)
            .map(|(_, id)| *id)
            .collect();
        if !due.is_empty() && remove_rows(&owner, &due).await {
            owner.expiring.borrow_mut().drain(..due.len());
            let mut versions = owner.versions.borrow_mut();
            versions.retain(|(id, _), _| !due.contains(id));
        }
    }
}

/// Removes the progress of ended jobs, and then the rows that kept them from being accepted again. Returns false if a
/// transaction was not applied; the call can then be repeated.
async fn remove_rows<P: RowStore>(owner: &ShardOwner<P>, ids: &[JobId]) -> bool {
    let shard = owner.claimed.shard;
    // The head goes last: without it, the other rows would be those of a job that has not begun.
    let heads = ids.iter().map(|id| (*id, ProgressRow::Head));
    let parts: Vec<RowId> = owner
        .versions
        .borrow()
        .keys()
        .filter(|(id, row)| *row != ProgressRow::Head && ids.contains(id))
        .copied()
        .chain(heads)
        .collect();
    let mut commits: Vec<Commit> = parts
        .chunks(REMOVALS_PER_TRANSACTION)
        .map(|rows| Commit {
            partition: layout::shard_partition(shard),
            expected: vec![owner.ownership_condition()],
            removes: rows.iter().map(|row| layout::progress_row(shard, *row)).collect(),
            ..Commit::default()
        })
        .collect();
    for id in ids {
        commits.push(Commit {
            partition: layout::job_partition(shard, *id),
            removes: vec![layout::job_row(shard, *id), layout::cancel_row(shard, *id)],
            ..Commit::default()
        });
    }
    for commit in &commits {
        let outcome = owner.node.port.commit(commit).await;
        owner.node.record_store_result(outcome.as_ref().err());
        if !matches!(outcome, Ok(CommitOutcome::Applied { .. })) {
            return false;
        }
    }
    true
}

/// Drops the descriptions of ended jobs. The writes need no condition, because the end of the job is stored and final.
pub(super) async fn drop_descriptions<P: RowStore>(owner: Rc<ShardOwner<P>>) {
    let shard = owner.claimed.shard;
    loop {
        tokio::time::sleep(DESCRIPTION_DROP_PERIOD).await;
        let mut by_partition: BTreeMap<String, Vec<JobId>> = BTreeMap::new();
        for id in owner.ended_jobs.borrow().iter() {
            by_partition.entry(layout::job_partition(shard, *id)).or_default().push(*id);
        }
        for (partition, ids) in by_partition {
            for ids in ids.chunks(JOBS_PER_TRANSACTION) {
                let commit = Commit {
                    partition: partition.clone(),
                    writes: ids
                        .iter()
                        .map(|id| (layout::job_row(shard, *id), layout::ENDED_JOB_VALUE.to_vec()))
                        .collect(),
                    removes: ids.iter().map(|id| layout::cancel_row(shard, *id)).collect(),
                    ..Commit::default()
                };
                let outcome = owner.node.port.commit(&commit).await;
                owner.node.record_store_result(outcome.as_ref().err());
                if outcome.is_ok() {
                    let mut ended = owner.ended_jobs.borrow_mut();
                    for id in ids {
                        ended.remove(id);
                    }
                }
            }
        }
    }
}
