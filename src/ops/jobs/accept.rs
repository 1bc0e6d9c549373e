//! Requests of callers: submit a job, look up its state, cancel it, count waiting jobs.
//!
//! A refused job must never run, so a job is refused only if none of its writes can have taken effect. A write whose
//! outcome is unknown is retried under the same condition until the caller's deadline; then the outcome is reported as
//! unknown.

use std::time::Duration;

use crate::job::progress::Progress;
use crate::job::{JobId, JobSpec, JobState};
use crate::port::{Commit, CommitOutcome, RowStore, StoreError};
use crate::shard::{JobQueue, ShardId};
use crate::telemetry::event::shard as event;

use super::layout::{self, HeartbeatRow, StoredJob};
use super::node::Node;

/// Pause before a call to the store is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Submission {
    /// The job is stored, by this call or an earlier one.
    Accepted,
    /// The job is not stored and never runs.
    Refused {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The job's description is larger than a row of the store can be, so the job is not stored.
    TooLarge {
        /// Size of the description in bytes.
        bytes: usize,
        /// Largest possible size in bytes.
        limit: usize,
    },
    /// The store does not accept the job's row, so the job is not stored. A repetition has the same outcome.
    Rejected {
        /// Why.
        cause: String,
    },
    /// The store gave no clear answer before the deadline; the job may be stored.
    Unknown,
}

/// Time after which a caller may retry a refused job. The store's shortest outages last a second or two, and other
/// processes may reach the store meanwhile.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Outcome of a look-up or a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup<T> {
    /// The job or count exists; for a cancellation, the request is stored or the job has ended.
    Found(T),
    /// The job was never accepted, or its rows have expired.
    Absent,
    /// The store gave no usable answer before the deadline.
    Unavailable,
}

impl<P: RowStore> Node<P> {
    /// Accepts a job of a queue in the operator config by writing its row. Repeating the call for a stored job returns
    /// [`Submission::Accepted`] again. `deadline` is the local time at which the caller stops waiting.
    pub async fn submit(
        &self,
        id: JobId,
        queue: &str,
        spec: JobSpec,
        deadline: Duration,
    ) -> Submission {
        let Some(shard) = self.shard_of(id) else {
            return Submission::Refused { retry_after: REFUSED_RETRY_AFTER };
        };
        let tasks = spec.tasks();
        let row = layout::job_row(shard, id);
        // The decoded form is dropped before the store is called, which may take long.
        let description = {
            let accepted_unix_ms = self.clock.unix_ms();
            let JobQueue { name, address, policy } = self.operator_config().job_queue(queue);
            let stored = StoredJob { queue: name, address, policy, accepted_unix_ms, spec };
            serde_json::to_vec(&stored).unwrap_or_default()
        };
        let (bytes, limit) = (description.len(), self.cfg.max_row_bytes);
        if bytes > limit {
            self.metrics.count("job.refused", 1);
            event::JOB_REFUSED.emit(format_args!(
                "job={id} queue={queue} cause=too-large bytes={bytes} limit={limit}"
            ));
            return Submission::TooLarge { bytes, limit };
        }
        let commit = Commit {
            partition: layout::job_partition(shard, id),
            expected: vec![(row.clone(), 0)],
            writes: vec![(row, description)],
            removes: Vec::new(),
        };
        let began = self.clock.boot();
        let submission = self.submit_row(&commit, deadline).await;
        let waited = self.clock.boot().saturating_sub(began);
        self.metrics.time("job.submit", waited);
        let waited = waited.as_millis();
        match &submission {
            Submission::Accepted => {
                self.metrics.count("job.accepted", 1);
                event::JOB_ACCEPTED.emit(format_args!(
                    "job={id} queue={queue} shard={} tasks={tasks} config={} waited_ms={waited}",
                    shard.0,
                    self.operator_config().version
                ));
            }
            Submission::Refused { .. } => {
                self.metrics.count("job.refused", 1);
                event::JOB_REFUSED
                    .emit(format_args!("job={id} queue={queue} cause=store waited_ms={waited}"));
            }
            Submission::TooLarge { .. } => {}
            Submission::Rejected { cause } => {
                self.metrics.count("job.refused", 1);
                event::JOB_REFUSED.emit(format_args!(
                    "job={id} queue={queue} cause={cause:?} waited_ms={waited}"
                ));
            }
            Submission::Unknown => {
                self.metrics.count("job.uncertain", 1);
                event::JOB_UNCERTAIN
                    .emit(format_args!("job={id} queue={queue} waited_ms={waited}"));
            }
        }
        submission
    }

    async fn submit_row(&self, commit: &Commit, deadline: Duration) -> Submission {
        let mut is_uncertain = false;
        loop {
            let outcome = self.before_deadline(deadline, self.port.commit(commit)).await;
            self.record_store_result(outcome.as_ref().err());
            match outcome {
                // A conflict means that an earlier write of the same job was applied.
                Ok(CommitOutcome::Applied { .. } | CommitOutcome::Conflict { .. }) => {
                    return Submission::Accepted;
                }
                Err(StoreError::Refused { .. }) if !is_uncertain => {
                    return Submission::Refused { retry_after: REFUSED_RETRY_AFTER };
                }
                Err(StoreError::Rejected { cause }) if !is_uncertain => {
                    return Submission::Rejected { cause };
                }
                Err(StoreError::Refused { .. } | StoreError::Rejected { .. }) => {}
                Err(_) => is_uncertain = true,
            }
            if self.clock.boot() + RETRY_PAUSE >= deadline {
                return Submission::Unknown;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Looks up a job's state: in its progress row, or else by whether the job was accepted.
    pub async fn job_state(&self, id: JobId, deadline: Duration) -> Lookup<JobState> {
        let Some(shard) = self.shard_of(id) else { return Lookup::Unavailable };
        match self.progress_state(shard, id, deadline).await {
            Lookup::Absent => {}
            found => return found,
        }
        let partition = layout::job_partition(shard, id);
        match self.read_key(&partition, &layout::jobs_table(shard), &id.to_string(), deadline).await
        {
            // The job may have ended since its progress row was looked up.
            Lookup::Found(row) if row == layout::ENDED_JOB_VALUE => {
                self.progress_state(shard, id, deadline).await
            }
            Lookup::Found(_) => Lookup::Found(JobState::Queued),
            Lookup::Absent => Lookup::Absent,
            Lookup::Unavailable => Lookup::Unavailable,
        }
    }

    async fn progress_state(
        &self,
        shard: ShardId,
        id: JobId,
        deadline: Duration,
    ) -> Lookup<JobState> {
        let partition = layout::shard_partition(shard);
        match self
            .read_key(&partition, &layout::progress_table(shard), &id.to_string(), deadline)
            .await
        {
            Lookup::Found(row) => match Progress::decode_state(&row) {
                Ok(state) => Lookup::Found(state),
                Err(e) => {
                    event::MALFORMED.emit(format_args!("row=progress job={id} cause={e}"));
                    Lookup::Unavailable
                }
            },
            Lookup::Absent => Lookup::Absent,
            Lookup::Unavailable => Lookup::Unavailable,
        }
    }

    /// Stores the request to cancel a job; the owner of its shard carries it out. Has no effect on a job that has
    /// ended.
    pub async fn cancel(&self, id: JobId, deadline: Duration) -> Lookup<()> {
        let Some(shard) = self.shard_of(id) else { return Lookup::Unavailable };
        match self.job_state(id, deadline).await {
            Lookup::Found(state) if state.is_final() => return Lookup::Found(()),
            Lookup::Found(_) => {}
            Lookup::Absent => return Lookup::Absent,
            Lookup::Unavailable => return Lookup::Unavailable,
        }
        let row = layout::cancel_row(shard, id);
        let commit = Commit {
            partition: layout::job_partition(shard, id),
            expected: vec![(row.clone(), 0)],
            writes: vec![(row, b"{}".to_vec())],
            removes: Vec::new(),
        };
        loop {
            let outcome = self.before_deadline(deadline, self.port.commit(&commit)).await;
            self.record_store_result(outcome.as_ref().err());
            if outcome.is_ok() {
                event::JOB_CANCEL.emit(format_args!("job={id} outcome=stored"));
                return Lookup::Found(());
            }
            if self.clock.boot() + RETRY_PAUSE >= deadline {
                event::JOB_CANCEL.emit(format_args!("job={id} outcome=unknown"));
                return Lookup::Unavailable;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Number of a queue's jobs without a schedule of which no task has started, from the newest heartbeat of each
    /// shard's owner.
    pub async fn pending(&self, queue: &str, deadline: Duration) -> Lookup<u64> {
        let Some(map) = self.map() else { return Lookup::Unavailable };
        let mut pending = 0;
        for shard in (0..map.shards).map(ShardId) {
            let partition = layout::shard_partition(shard);
            let key = layout::HEARTBEAT_KEY;
            match self.read_key(&partition, layout::OWNERS_TABLE, key, deadline).await {
                Lookup::Found(row) => match serde_json::from_slice::<HeartbeatRow>(&row) {
                    Ok(heartbeat) => pending += heartbeat.pending.get(queue).copied().unwrap_or(0),
                    Err(e) => {
                        event::MALFORMED
                            .emit(format_args!("row=heartbeat shard={} cause={e}", shard.0));
                        return Lookup::Unavailable;
                    }
                },
                Lookup::Absent => {}
                Lookup::Unavailable => return Lookup::Unavailable,
            }
        }
        Lookup::Found(pending)
    }

    /// Waits for a call to the store, at most until `deadline`.
    async fn before_deadline<T>(
        &self,
        deadline: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let left = deadline.saturating_sub(self.clock.boot());
        let late = || StoreError::NoAnswer { cause: format!("no response within {left:?}") };
        tokio::time::timeout(left, call).await.unwrap_or_else(|_| Err(late()))
    }

    fn shard_of(&self, id: JobId) -> Option<ShardId> {
        self.map().map(|map| map.of_job(id))
    }

    async fn read_key(
        &self,
        partition: &str,
        table: &str,
        key: &str,
        deadline: Duration,
    ) -> Lookup<Vec<u8>> {
        // A bound just above `key`: keys have no control characters.
        let to = format!("{key}\u{1}");
        loop {
            let outcome =
                self.before_deadline(deadline, self.port.read(table, partition, key, &to)).await;
            self.record_store_result(outcome.as_ref().err());
            if let Ok(list) = outcome {
                let row = list.rows.into_iter().find(|row| row.id.key == key);
                return row.and_then(|row| row.value).map_or(Lookup::Absent, Lookup::Found);
            }
            if self.clock.boot() + RETRY_PAUSE >= deadline {
                return Lookup::Unavailable;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
