//! Tests of job processes: several processes in one event loop, with an in-memory store and workers.

mod dropped_queues;
mod flow;
mod freshness;
mod heartbeats;
mod ownership;
mod port;
mod rows;
mod takeover_log;
