//! The HTTP interface for callers and operators.
//!
//! One thread takes requests from the HTTP server and puts them into a bounded queue; `limits.front_threads` threads
//! answer them. A request that finds the queue full is refused as `not-run`.
//!
//! [`server`] lists the limits that apply to a caller.

mod answer;
mod routes;
pub mod server;

use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use thiserror::Error;

use super::Context;
use super::dispatch::{Dispatcher, InFlight};
use super::keys::IdempotencyKeys;
use crate::error::ApiError;
use crate::request::Outcome;
use crate::telemetry::event::request as event;

pub use answer::FrontAnswer;
pub use routes::{ApiRoutes, Handler};

use server::{HttpServer, IncomingRequest};

/// A request in the queue, counted as in progress until it is answered.
type QueuedRequest = (IncomingRequest, InFlight);

/// Length of the queue per front thread.
const QUEUED_REQUESTS_PER_THREAD: usize = 2;

/// Why the HTTP interface could not start.
#[derive(Debug, Error)]
pub enum FrontError {
    /// The address cannot be bound, or the server's runtime cannot be created.
    #[error(
        "cannot listen for callers on {address}; check that listen is free and belongs to this VM: {cause}"
    )]
    Listen {
        /// The configured `listen` address.
        address: SocketAddr,
        /// The system's message.
        cause: String,
    },
    /// The server thread, the accepting thread or a front thread could not be started.
    #[error("cannot start a front thread; lower limits.front_threads")]
    Thread {
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
}

/// The running HTTP interface.
#[derive(Debug)]
pub struct Front {
    server: Arc<HttpServer>,
    threads: Vec<JoinHandle<()>>,
}

impl Front {
    /// Listens on the configured `listen` address and starts the threads.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or a thread cannot be started.
    pub fn start(
        cx: &Context,
        dispatcher: Dispatcher,
        keys: IdempotencyKeys,
        api: ApiRoutes,
    ) -> Result<Self, FrontError> {
        let server = Arc::new(HttpServer::start(&cx.cfg, cx.metrics.clone())?);
        let count = cx.cfg.limits.front_threads;
        let (tx, rx) = mpsc::sync_channel::<QueuedRequest>(count * QUEUED_REQUESTS_PER_THREAD);
        let rx = Arc::new(Mutex::new(rx));
        let routes = Arc::new(routes::Routes::new(cx.clone(), dispatcher.clone(), keys, api));
        let mut threads = Vec::with_capacity(count + 1);
        for index in 0..count {
            let rx = Arc::clone(&rx);
            let routes = Arc::clone(&routes);
            threads.push(spawn(format!("front-{index}"), move || serve(&rx, &routes))?);
        }
        let accepting_server = Arc::clone(&server);
        let stop = cx.stop.clone();
        let tracker = dispatcher;
        threads.push(spawn("front-accept".to_owned(), move || {
            while !stop.is_stopped() {
                let Some(req) = accepting_server.next() else { continue };
                // Counted until its answer has been handed to the server, so that a planned stop waits for it.
                let in_flight = tracker.track();
                if let Err(TrySendError::Full(full) | TrySendError::Disconnected(full)) =
                    tx.try_send((req, in_flight))
                {
                    let (req, _in_flight) = full;
                    event::FRONT_FULL.emit(format_args!("the ring of requests is full"));
                    req.respond(FrontAnswer::error(&busy(), Outcome::NotRun));
                }
            }
        })?);
        Ok(Self { server, threads })
    }

    /// The bound address, with the port that the system chose if the configured port is 0.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Joins the threads. The context's stop signal must have been set.
    pub fn close(self) {
        for thread in self.threads {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
        self.server.close();
    }
}

fn spawn(name: String, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, FrontError> {
    let spawned = std::thread::Builder::new().name(name).spawn(body);
    spawned.map_err(|source| FrontError::Thread { source })
}

fn serve(queue: &Mutex<Receiver<QueuedRequest>>, routes: &routes::Routes) {
    loop {
        let next = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok((req, _in_flight)) = next else { return };
        let answer = routes.answer(&req);
        req.respond(answer);
    }
}

fn busy() -> ApiError {
    ApiError::new(503, "busy", "too many requests wait for a thread", "repeat the request later")
}
