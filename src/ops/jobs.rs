//! Accepts jobs, and schedules the shards that this process owns.
//!
//! All async tasks of a process run on one event loop ([`crate::net`] says why). Any process accepts a job by writing
//! its row. The owner of the job's shard finds the row by following the table's changes, so processes need not send
//! each other messages. The rows:
//!
//! | table | partition | key | content | writer |
//! | --- | --- | --- | --- | --- |
//! | `layout` | none | `shards` | number of shards | the first process, once |
//! | `owners` | `sK` | `owner` | owner and epoch of shard K | the claiming process, under the row's version |
//! | `owners` | `sK` | `heartbeat` | waiting jobs by queue, unreached workers | the owner, under the versions of this and the owner row |
//! | `heartbeat-parts` | `sK` | 1, 2, ... | names that don't fit into the heartbeat | the owner, with the heartbeat |
//! | `progress-K` | `sK` | job ID | [`crate::job::Progress`] | the owner, under the versions of this and the owner row |
//! | `jobs-K` | `jK.P` | job ID | the accepted job; `null` once it has ended | any process if it does not exist, later the owner |
//! | `jobs-K` | `jK.P` | job ID, `.cancel` | `{}` | any process |
//!
//! "Under a version" means that the write is applied only if the row has that version. A progress row is removed under
//! the version of the owner row alone. Accepted jobs are spread over several partitions, because a partition applies its
//! transactions one at a time.

pub mod accept;
pub mod freshness;
pub mod heartbeat;
pub mod layout;
pub mod node;
pub mod operator_config;
pub mod owner;
pub mod watch;

pub use node::{Node, NodeSettings};
pub use operator_config::{OperatorConfig, Route};
