//! The tarpc server of a process, and its clients of other processes.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::future::BoxFuture;
use tarpc::client::RpcError;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{client, context};
use thiserror::Error;
use tokio::sync::{oneshot, watch};
use tracing::Instrument as _;

use super::message::{
    ForwardedAnswer, ForwardedRequest, HandOver, HandOverReply, Heartbeat, HeartbeatReply,
    HoldAnswer, HoldQuery, RecordKey, RecordKeyReply, Relay, RelayReply,
};
use super::{PeerError, PeerHandler, Peers};
use crate::telemetry::trace;

/// Largest encoded message: a request body with its headers, or the task rows in a [`HandOver`].
const MAX_FRAME_BYTES: usize = 32 << 20;

/// Threads that run the handler methods that may block.
const BLOCKING_THREADS: usize = 64;

/// Most blocking calls that wait for a thread; further ones are refused.
const BLOCKING_QUEUE_LENGTH: usize = 256;

/// Pause after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

#[tarpc::service]
trait PeerService {
    async fn heartbeat(msg: Heartbeat) -> HeartbeatReply;
    async fn query_hold(msg: HoldQuery) -> HoldAnswer;
    async fn hand_over(msg: HandOver) -> HandOverReply;
    async fn record_key(msg: RecordKey) -> RecordKeyReply;
    async fn relay(msg: Relay) -> RelayReply;
    async fn forward(msg: ForwardedRequest) -> ForwardedAnswer;
}

/// Why the node could not start.
#[derive(Debug, Error)]
pub enum PeerNodeError {
    /// The address cannot be bound, or the listener cannot be used.
    #[error(
        "cannot listen for peers on {address}; check that peer_listen is free and belongs to this VM"
    )]
    Listen {
        /// The configured `peer_listen` address.
        address: SocketAddr,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// The runtime or a thread could not be created.
    #[error("cannot start the peer threads")]
    Thread {
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
}

type BlockingCall = Box<dyn FnOnce() + Send>;

/// Connections by address, shared by all calls.
type Connections = Arc<Mutex<BTreeMap<String, PeerServiceClient>>>;

/// The peer interface of a process. Any thread may call its methods.
#[derive(Debug)]
pub struct PeerNode {
    address: SocketAddr,
    /// Taken by [`Self::serve`].
    listener: Mutex<Option<TcpListener>>,
    runtime: tokio::runtime::Handle,
    connections: Connections,
    stop: watch::Sender<bool>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl PeerNode {
    /// Listens on `address` and answers with `handler`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or a thread cannot be started.
    pub fn start(
        address: SocketAddr,
        handler: Arc<dyn PeerHandler>,
    ) -> Result<Self, PeerNodeError> {
        let node = Self::bind(address)?;
        node.serve(handler)?;
        Ok(node)
    }

    /// Listens on `address`. Peers' calls wait until [`Self::serve`]; calls to peers may be made at once.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or the thread cannot be started.
    pub fn bind(address: SocketAddr) -> Result<Self, PeerNodeError> {
        let listen = |source| PeerNodeError::Listen { address, source };
        let listener = TcpListener::bind(address).map_err(listen)?;
        listener.set_nonblocking(true).map_err(listen)?;
        let bound = listener.local_addr().map_err(listen)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| PeerNodeError::Thread { source })?;
        let (stop, mut stopped) = watch::channel(false);
        let handle = runtime.handle().clone();
        let thread = std::thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || {
                // An error means that the node was dropped, so the thread ends as well.
                let _ = runtime.block_on(stopped.wait_for(|stopped| *stopped));
            })
            .map_err(|source| PeerNodeError::Thread { source })?;
        Ok(Self {
            address: bound,
            listener: Mutex::new(Some(listener)),
            runtime: handle,
            connections: Connections::default(),
            stop,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Starts to answer peers. Only the first call has an effect.
    ///
    /// # Errors
    ///
    /// If the listener cannot be used or a thread cannot be started.
    pub fn serve(&self, handler: Arc<dyn PeerHandler>) -> Result<(), PeerNodeError> {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(listener) = listener else { return Ok(()) };
        let _runtime = self.runtime.enter();
        let listener = tokio::net::TcpListener::from_std(listener)
            .map_err(|source| PeerNodeError::Listen { address: self.address, source })?;
        let blocking_calls =
            start_blocking_threads().map_err(|source| PeerNodeError::Thread { source })?;
        self.runtime.spawn(accept(listener, Server { handler, blocking_calls }));
        Ok(())
    }

    /// The address that the node listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops answering and joins the thread. Calls in progress fail.
    pub fn close(&self) {
        self.stop.send_replace(true);
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(thread) = thread {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }

    fn call<R, F>(&self, address: &str, timeout: Duration, call: F) -> Result<R, PeerError>
    where
        R: Send + 'static,
        F: FnOnce(PeerServiceClient, context::Context) -> BoxFuture<'static, Result<R, RpcError>>
            + Send
            + 'static,
    {
        let (tx, rx) = mpsc::sync_channel(1);
        let connections = Arc::clone(&self.connections);
        let address = address.to_owned();
        let task_address = address.clone();
        self.runtime.spawn(async move {
            let result = call_peer(&connections, &task_address, timeout, call).await;
            // Fails if the caller has stopped waiting.
            let _ = tx.send(result);
        });
        rx.recv_timeout(timeout + CONNECT_TIMEOUT).unwrap_or_else(|_| {
            Err(PeerError::NoAnswer {
                address,
                waited: timeout,
                cause: "the RPC thread of this process returned no result".to_owned(),
            })
        })
    }
}

async fn call_peer<R, F>(
    connections: &Connections,
    address: &str,
    timeout: Duration,
    call: F,
) -> Result<R, PeerError>
where
    F: FnOnce(PeerServiceClient, context::Context) -> BoxFuture<'static, Result<R, RpcError>>,
{
    let peer = connect(connections, address, timeout).await?;
    let mut cx = context::current();
    cx.deadline = Instant::now() + timeout;
    let no_answer =
        |cause: String| PeerError::NoAnswer { address: address.to_owned(), waited: timeout, cause };
    match tokio::time::timeout(timeout, call(peer, cx)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => {
            if !matches!(error, RpcError::DeadlineExceeded | RpcError::Server(_)) {
                forget(connections, address);
            }
            Err(no_answer(error.to_string()))
        }
        Err(_) => Err(no_answer("timeout".to_owned())),
    }
}

async fn connect(
    connections: &Connections,
    address: &str,
    timeout: Duration,
) -> Result<PeerServiceClient, PeerError> {
    let known = connections.lock().unwrap_or_else(PoisonError::into_inner).get(address).cloned();
    if let Some(peer) = known {
        return Ok(peer);
    }
    let unreachable = |cause: String| PeerError::Unreachable { address: address.to_owned(), cause };
    let mut connecting = tcp::connect(address.to_owned(), Bincode::default);
    connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = tokio::time::timeout(timeout.min(CONNECT_TIMEOUT), connecting)
        .await
        .map_err(|_| unreachable("timeout while connecting".to_owned()))?
        .map_err(|error| unreachable(error.to_string()))?;
    let peer = PeerServiceClient::new(client::Config::default(), transport).spawn();
    let mut connections = connections.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(connections.entry(address.to_owned()).or_insert(peer).clone())
}

fn forget(connections: &Connections, address: &str) {
    connections.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
}

fn start_blocking_threads() -> Result<SyncSender<BlockingCall>, std::io::Error> {
    let (tx, rx) = mpsc::sync_channel::<BlockingCall>(BLOCKING_QUEUE_LENGTH);
    let rx = Arc::new(Mutex::new(rx));
    for index in 0..BLOCKING_THREADS {
        let rx = Arc::clone(&rx);
        std::thread::Builder::new().name(format!("peer-slow-{index}")).spawn(move || {
            loop {
                let next = rx.lock().unwrap_or_else(PoisonError::into_inner).recv();
                let Ok(call) = next else { return };
                call();
            }
        })?;
    }
    Ok(tx)
}

/// Serves each connection in a task of its own. Ends with the runtime.
async fn accept(listener: tokio::net::TcpListener, server: Server) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        // With Nagle's algorithm, small answers would wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
        tokio::spawn(calls.for_each(|call| {
            tokio::spawn(call);
            futures::future::ready(())
        }));
    }
}

#[derive(Clone)]
struct Server {
    handler: Arc<dyn PeerHandler>,
    blocking_calls: SyncSender<BlockingCall>,
}

impl Server {
    /// Runs a call on a thread that may block. If the queue is full, the call has not begun.
    async fn run_blocking<R: Send + 'static>(
        &self,
        call: impl FnOnce(&dyn PeerHandler) -> R + Send + 'static,
    ) -> Result<R, BlockingCallError> {
        let (tx, rx) = oneshot::channel();
        let handler = Arc::clone(&self.handler);
        let job: BlockingCall = Box::new(move || {
            // Fails if the asking peer has stopped waiting.
            let _ = tx.send(call(handler.as_ref()));
        });
        match self.blocking_calls.try_send(job) {
            Ok(()) => rx.await.map_err(|_| BlockingCallError::Lost),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                Err(BlockingCallError::QueueFull)
            }
        }
    }
}

/// Why a blocking call has no result.
#[derive(Debug, Error)]
enum BlockingCallError {
    /// The call has not begun.
    #[error("too many calls wait at the peer")]
    QueueFull,
    /// The call has begun, and its thread panicked.
    #[error("the peer's thread ended in the middle of the call")]
    Lost,
}

impl PeerService for Server {
    async fn heartbeat(self, _: context::Context, msg: Heartbeat) -> HeartbeatReply {
        self.handler.heartbeat(&msg)
    }

    async fn query_hold(self, _: context::Context, msg: HoldQuery) -> HoldAnswer {
        self.handler.query_hold(&msg)
    }

    async fn hand_over(self, _: context::Context, msg: HandOver) -> HandOverReply {
        self.handler.hand_over(&msg)
    }

    async fn record_key(self, _: context::Context, msg: RecordKey) -> RecordKeyReply {
        self.handler.record_key(&msg)
    }

    async fn relay(self, _: context::Context, msg: Relay) -> RelayReply {
        match self.run_blocking(move |handler| handler.relay(&msg)).await {
            Ok(reply) => reply,
            Err(error) => RelayReply::Failed {
                no_effect: matches!(error, BlockingCallError::QueueFull),
                cause: error.to_string(),
            },
        }
    }

    async fn forward(self, _: context::Context, msg: ForwardedRequest) -> ForwardedAnswer {
        match self.run_blocking(move |handler| handler.forward(&msg)).await {
            Ok(answer) => answer,
            Err(error @ BlockingCallError::QueueFull) => {
                ForwardedAnswer::NotRun { cause: error.to_string() }
            }
            Err(error @ BlockingCallError::Lost) => {
                ForwardedAnswer::Unknown { cause: error.to_string() }
            }
        }
    }
}

fn boxed<R>(
    future: impl Future<Output = Result<R, RpcError>> + Send + 'static,
) -> BoxFuture<'static, Result<R, RpcError>> {
    Box::pin(future)
}

impl Peers for PeerNode {
    fn heartbeat(
        &self,
        address: &str,
        msg: Heartbeat,
        timeout: Duration,
    ) -> Result<HeartbeatReply, PeerError> {
        self.call(address, timeout, |peer, cx| boxed(async move { peer.heartbeat(cx, msg).await }))
    }

    fn query_hold(
        &self,
        address: &str,
        msg: HoldQuery,
        timeout: Duration,
    ) -> Result<HoldAnswer, PeerError> {
        self.call(address, timeout, |peer, cx| boxed(async move { peer.query_hold(cx, msg).await }))
    }

    fn hand_over(
        &self,
        address: &str,
        msg: HandOver,
        timeout: Duration,
    ) -> Result<HandOverReply, PeerError> {
        self.call(address, timeout, |peer, cx| boxed(async move { peer.hand_over(cx, msg).await }))
    }

    fn record_key(
        &self,
        address: &str,
        msg: RecordKey,
        timeout: Duration,
    ) -> Result<RecordKeyReply, PeerError> {
        self.call(address, timeout, |peer, cx| boxed(async move { peer.record_key(cx, msg).await }))
    }

    fn relay(&self, address: &str, msg: Relay, timeout: Duration) -> Result<RelayReply, PeerError> {
        self.call(address, timeout, |peer, cx| boxed(async move { peer.relay(cx, msg).await }))
    }

    fn forward(
        &self,
        address: &str,
        msg: ForwardedRequest,
        timeout: Duration,
    ) -> Result<ForwardedAnswer, PeerError> {
        let span = trace::peer_call(&msg.traceparent);
        self.call(address, timeout, |peer, cx| {
            boxed(async move { peer.forward(cx, msg).await }.instrument(span))
        })
    }
}
