//! Jobs: accepting them, and scheduling the shards that this process owns.
//!
//! All duties of a process run on one event loop ([`crate::net`] says why). Any process accepts a job by writing its
//! row; the owner of the job's shard finds it in the table's changes, so no message between processes is needed. The
//! rows:
//!
//! | table | partition | key | content | writer |
//! | --- | --- | --- | --- | --- |
//! | `layout` | none | `shards` | number of shards | the first process, once |
//! | `owners` | `sK` | `owner` | holder and epoch of shard K | who claims it, under the row's version |
//! | `owners` | `sK` | `heartbeat` | waiting jobs by queue, workers not reached | the owner, under the owner row's version |
//! | `progress-K` | `sK` | job | [`crate::job::Progress`] | the owner, under the versions of this and the owner row |
//! | `jobs-K` | `jK.P` | job | the job as accepted; `null` once it has ended | any process if it does not exist, later the owner |
//! | `jobs-K` | `jK.P` | job, `.cancel` | empty | any process |
//!
//! Accepted jobs are spread over several partitions, because a partition applies one transaction after the other.

pub mod accept;
pub mod layout;
pub mod node;
pub mod operator_config;
pub mod owner;
pub mod watch;

pub use node::{Node, NodeSettings};
pub use operator_config::{OperatorConfig, Route};
