//! HTTP on the event loop: the client and the server against slow, malformed and silent peers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use plantainlever::net::budget::{BudgetLimits, RequestBudget};
use plantainlever::net::client::{Call, CallError, Client, OnSilence};
use plantainlever::net::default_header::DefaultHeader;
use plantainlever::net::server::{Received, Reply, ServerLimits, listen, serve};
use plantainlever::telemetry::Metrics;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

const LIMITS: ServerLimits = ServerLimits {
    header_bytes: 8_192,
    header_time: Duration::from_millis(300),
    body_bytes: 1_000,
    body_time: Duration::from_millis(300),
    connections: 3,
    default_header: Some(DefaultHeader { name: "X-Outcome", value: "none" }),
};

/// Time limit of every wait in these tests.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs `test` with the address of a server, which has a thread of its own.
fn with_server(test: impl FnOnce(SocketAddr)) {
    let (tx, rx) = std::sync::mpsc::channel();
    let (close, closing) = watch::channel(false);
    let server = std::thread::spawn(move || {
        block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            let mut stop = closing.clone();
            tokio::select! {
                () = serve(listener, LIMITS, budget(), closing, echo) => {}
                _ = stop.wait_for(|is_closing| *is_closing) => {}
            }
        });
    });
    test(rx.recv_timeout(TEST_TIMEOUT).unwrap());
    close.send_replace(true);
    server.join().unwrap();
}

fn budget() -> Rc<RequestBudget> {
    RequestBudget::new(BudgetLimits { bytes: 1 << 20, copies: 1 }, Metrics::disabled())
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

async fn echo(req: Received) -> Reply {
    match req.body {
        Ok(body) => Reply::json(StatusCode::OK, body.to_vec()),
        Err(e) => e.reply(),
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Reads everything that the server sends until it closes the connection.
fn read_until_closed(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    // A reset also ends the connection.
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Guards against a caller that keeps a connection open with a header that never ends: each byte arrives in time, the
/// whole header does not.
#[test]
fn a_slow_header_closes_the_connection() {
    with_server(|address| {
        let mut stream = connect(address);
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let started = Instant::now();
        let header = b"GET / HTTP/1.1\r\nhost: a\r\nx-slow: ";
        for byte in header.iter().chain(std::iter::repeat(&b'a')) {
            if stream.write_all(&[*byte]).is_err() || started.elapsed() > TEST_TIMEOUT {
                break;
            }
            // Waits 20 ms, or until the server closes the connection.
            let _ = stream.read(&mut [0; 1]);
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "the connection is still open");
    });
}

/// Guards against a malformed request that gets no answer, or that ends the process.
#[test]
fn a_malformed_request_is_refused() {
    with_server(|address| {
        let mut stream = connect(address);
        stream.write_all(b"what is this\r\n\r\n").unwrap();
        let answer = read_until_closed(&mut stream);
        assert!(
            answer.starts_with("HTTP/1.1 400") && answer.contains("\r\nX-Outcome: none\r\n"),
            "{answer}"
        );
    });
}

/// Guards against a body that exhausts the memory.
#[test]
fn a_body_over_the_limit_is_refused() {
    with_server(|address| {
        let mut stream = connect(address);
        let head =
            "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 1001\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&[b'a'; 1001]).unwrap();
        assert!(read_until_closed(&mut stream).starts_with("HTTP/1.1 413"));
    });
}

/// Guards against a caller that writes its whole body before it reads, and loses the refusal to a reset connection.
#[test]
fn a_caller_that_still_writes_sees_its_refusal() {
    with_server(|address| {
        let headers =
            ["content-length: 600000\r\n\r\n", "transfer-encoding: chunked\r\n\r\n927c0\r\n"];
        for header in headers {
            let mut stream = connect(address);
            let head = format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{header}");
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&[b'a'; 600_000]).unwrap();
            assert!(read_until_closed(&mut stream).starts_with("HTTP/1.1 413"));
        }
    });
}

/// Guards against a header that exhausts the memory.
#[test]
fn a_header_over_the_limit_is_refused() {
    with_server(|address| {
        let mut stream = connect(address);
        let long = "a".repeat(3 * LIMITS.header_bytes);
        // The server may close before all is written.
        let _ = stream
            .write_all(format!("GET / HTTP/1.1\r\nhost: a\r\nx-long: {long}\r\n\r\n").as_bytes());
        let answer = read_until_closed(&mut stream);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
    });
}

/// Guards against a request that stays open because its body never arrives.
#[test]
fn a_missing_body_times_out() {
    with_server(|address| {
        let mut stream = connect(address);
        let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 10\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        assert!(read_until_closed(&mut stream).starts_with("HTTP/1.1 408"));
    });
}

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok";

fn assert_served(stream: &mut TcpStream) {
    stream.write_all(REQUEST).unwrap();
    let mut buf = [0; 12];
    stream.read_exact(&mut buf).unwrap();
    assert_eq!(&buf, b"HTTP/1.1 200");
}

/// Guards against an unlimited number of open connections, and against idle ones that shut out new callers.
#[test]
fn a_connection_over_the_limit_takes_the_place_of_the_one_that_waits_longest() {
    with_server(|address| {
        let mut open: Vec<TcpStream> = (0..LIMITS.connections).map(|_| connect(address)).collect();
        open.iter_mut().for_each(assert_served);
        assert_served(&mut connect(address));
        let rest = read_until_closed(&mut open[0]);
        assert!(rest.ends_with("ok"), "{rest}");
        open[1..].iter_mut().for_each(|stream| {
            stream.set_nonblocking(true).unwrap();
            let mut buf = [0; 1_000];
            let _ = stream.read(&mut buf).unwrap();
            let e = stream.read(&mut buf).unwrap_err();
            assert_eq!(e.kind(), std::io::ErrorKind::WouldBlock);
        });
    });
}

/// Guards against a new connection that closes two others, because a third one has ended before.
#[test]
fn a_connection_over_the_limit_closes_one_other_after_an_earlier_end() {
    with_server(|address| {
        let mut open: Vec<TcpStream> = (0..LIMITS.connections).map(|_| connect(address)).collect();
        open.iter_mut().for_each(assert_served);
        drop(open.remove(0));
        for _ in 0..3 {
            // The server has noticed the end before it answers what was sent later.
            open.iter_mut().for_each(assert_served_again);
        }
        let mut new = [connect(address), connect(address)];
        new.iter_mut().for_each(assert_served);
        assert_served_again(&mut open[1]);
    });
}

/// As [`assert_served`], on a connection whose last answer has not been read to its end.
fn assert_served_again(stream: &mut TcpStream) {
    let mut rest = [0; 4_096];
    while !rest.starts_with(b"ok") && !rest.windows(6).any(|window| window == b"\r\n\r\nok") {
        assert!(stream.read(&mut rest).unwrap() > 0, "the connection is closed");
    }
    assert_served(stream);
}

/// Guards against a new connection that ends a request in progress, or waits without an answer.
#[test]
fn a_connection_is_refused_while_requests_are_handled_on_all_others() {
    let (tx, rx) = std::sync::mpsc::channel();
    let (close, closing) = watch::channel(false);
    let (release, released) = watch::channel(false);
    let (begun, handled) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            let answer = move |req| {
                let mut released = released.clone();
                begun.send(()).unwrap();
                async move {
                    released.wait_for(|is_released| *is_released).await.unwrap();
                    echo(req).await
                }
            };
            serve(listener, LIMITS, budget(), closing, answer).await;
        });
    });
    let address = rx.recv_timeout(TEST_TIMEOUT).unwrap();
    let mut open: Vec<TcpStream> = (0..LIMITS.connections).map(|_| connect(address)).collect();
    for stream in &mut open {
        stream.write_all(REQUEST).unwrap();
    }
    for _ in &open {
        handled.recv_timeout(TEST_TIMEOUT).unwrap();
    }
    let refused = read_until_closed(&mut connect(address));
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("\r\nRetry-After: 1\r\nX-Outcome: none\r\n"), "{refused}");
    release.send_replace(true);
    close.send_replace(true);
    for mut stream in open {
        let answer = read_until_closed(&mut stream);
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("ok"), "{answer:?}");
    }
    server.join().unwrap();
}

/// Guards against a call that may have taken effect and is reported as not sent.
#[test]
fn a_sent_call_without_an_answer_fails_as_no_answer() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 64];
        let read = stream.read(&mut buf).unwrap();
        drop(stream);
        read
    });
    let call = Call::post("/", b"{}".to_vec());
    let outcome = block_on(async {
        Client::new(2, OnSilence::CloseIdle).call(address, &call, TEST_TIMEOUT).await
    });
    assert!(server.join().unwrap() > 0);
    assert!(matches!(outcome, Err(CallError::NoAnswer { .. })), "{outcome:?}");
}

/// Guards against a call that is reported as possibly sent although no connection could be opened.
#[test]
fn a_call_to_a_closed_port_fails_as_not_sent() {
    let address = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let outcome = block_on(async {
        Client::new(2, OnSilence::CloseIdle).call(address, &Call::get("/"), TEST_TIMEOUT).await
    });
    assert!(matches!(outcome, Err(CallError::NotSent { .. })), "{outcome:?}");
}

/// Guards against a request that is sent twice. The peer closes each connection after one answer, so the next call
/// finds a closed connection in the pool.
#[test]
fn a_closed_idle_connection_is_replaced_and_nothing_is_sent_twice() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let mut bodies = Vec::new();
        for _ in 0..3 {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buf = Vec::new();
            while !buf.ends_with(b"!") {
                let mut part = [0; 256];
                let read = stream.read(&mut part).unwrap();
                buf.extend_from_slice(&part[..read]);
            }
            bodies.push(buf[buf.len() - 2]);
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
        }
        bodies
    });
    block_on(async {
        let client = Client::new(2, OnSilence::CloseIdle);
        for name in ["1!", "2!", "3!"] {
            let call = Call::post("/", name.as_bytes().to_vec());
            let answer = client.call(address, &call, TEST_TIMEOUT).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK);
            // Lets the event loop detect that the peer has closed the connection.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert_eq!(server.join().unwrap(), b"123");
}

/// Guards against a call that hangs on a silent connection: it times out, and the next call uses a new connection.
#[test]
fn a_silent_connection_times_out_and_is_not_reused() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (silent, _) = listener.accept().unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 512];
        let _ = stream.read(&mut buf).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
        drop(silent);
    });
    block_on(async {
        let client = Client::new(1, OnSilence::CloseIdle);
        let short = Duration::from_millis(200);
        let first = client.call(address, &Call::get("/"), short).await;
        assert!(matches!(first, Err(CallError::NoAnswer { .. })), "{first:?}");
        let second = client.call(address, &Call::get("/"), TEST_TIMEOUT).await;
        assert_eq!(second.unwrap().status, StatusCode::OK);
    });
    server.join().unwrap();
}

/// Guards against a command that is sent later than its time limit after it was decided, because the wait for a free
/// connection and opening one each take the whole limit.
#[test]
fn the_wait_for_a_connection_and_opening_it_share_the_time_limit() {
    block_on(async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        // With a full backlog, attempts to connect get no answer.
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            backlog.push(stream);
        }
        let client = Client::new(1, OnSilence::KeepIdle);
        let (short, limit) = (Duration::from_millis(600), Duration::from_millis(1_000));
        let call = Call::get("/");
        let began = Instant::now();
        let late = async { (client.call(address, &call, limit).await, began.elapsed()) };
        let (first, (second, elapsed)) = tokio::join!(client.call(address, &call, short), late);
        for outcome in [first, second] {
            assert!(matches!(outcome, Err(CallError::NotSent { .. })), "{outcome:?}");
        }
        assert!(elapsed < limit + short / 2, "{elapsed:?}");
    });
}

/// Guards against a planned stop that interrupts a request in flight. The answer has to be complete before the
/// connection closes.
#[test]
fn a_planned_stop_completes_requests_in_flight() {
    let (tx, rx) = std::sync::mpsc::channel();
    let (close, closing) = watch::channel(false);
    let stopping = closing.clone();
    let server = std::thread::spawn(move || {
        block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            // Answers only once the stop has begun.
            let answer = move |req| {
                let mut stopping = stopping.clone();
                async move {
                    stopping.wait_for(|is_stopping| *is_stopping).await.unwrap();
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    echo(req).await
                }
            };
            serve(listener, LIMITS, budget(), closing, answer).await;
        });
    });
    let address = rx.recv_timeout(TEST_TIMEOUT).unwrap();
    let mut streams: Vec<TcpStream> = (0..2).map(|_| connect(address)).collect();
    for stream in &mut streams {
        stream.write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello").unwrap();
        // An answer to a later malformed request shows that the server has read this one.
        let mut other = connect(address);
        other.write_all(b"BAD\r\n\r\n").unwrap();
        assert!(read_until_closed(&mut other).starts_with("HTTP/1.1 400"));
    }
    close.send_replace(true);
    for mut stream in streams {
        let answer = read_until_closed(&mut stream);
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("hello"), "{answer:?}");
    }
    server.join().unwrap();
}

/// Guards against renewals and heartbeats that come late because the event loop decodes bodies in tiny chunks: counts
/// the chunks that are handled in all, and between two turns of another task, beside four such bodies that never end.
#[test]
fn bodies_in_tiny_chunks_leave_the_event_loop_to_other_tasks() {
    const OPEN_BODIES: usize = 4;
    const OPEN_CHUNKS: usize = 4_000;
    const BODIES: usize = 100;
    const CHUNKS: usize = 16_384;
    let limits = ServerLimits {
        connections: OPEN_BODIES + BODIES,
        body_bytes: 64 << 10,
        body_time: TEST_TIMEOUT,
        ..LIMITS
    };
    let request = |chunks: usize, end: &str| {
        let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        format!("{head}{}{end}", "1\r\na\r\n".repeat(chunks)).into_bytes()
    };
    let (open, whole) = (request(OPEN_CHUNKS, ""), request(CHUNKS, "0\r\n\r\n"));
    block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let memory = BudgetLimits { bytes: 64 << 20, copies: 1 };
        let budget = RequestBudget::new(memory, Metrics::disabled());
        let (close, closing) = watch::channel(false);
        let server =
            tokio::task::spawn_local(serve(listener, limits, Rc::clone(&budget), closing, echo));
        let opened = tokio::task::spawn_blocking(move || {
            let mut streams: Vec<_> = (0..OPEN_BODIES).map(|_| connect(address)).collect();
            streams.iter_mut().for_each(|stream| stream.write_all(&open).unwrap());
            streams
        });
        let opened = opened.await.unwrap();
        let open_frames = (OPEN_BODIES * OPEN_CHUNKS) as u64;
        while budget.frames() < open_frames {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let clients = std::thread::spawn(move || {
            let send = || {
                let (mut stream, whole) = (connect(address), whole.clone());
                std::thread::spawn(move || {
                    // The server may refuse the body before all is written.
                    let _ = stream.write_all(&whole);
                    read_until_closed(&mut stream)
                })
            };
            let clients: Vec<_> = (0..BODIES).map(|_| send()).collect();
            clients.into_iter().map(|client| client.join().unwrap()).collect::<Vec<_>>()
        });
        let (mut most, mut last) = (0, open_frames);
        while !clients.is_finished() {
            let frames = budget.frames();
            most = most.max(frames - last);
            last = frames;
            tokio::task::yield_now().await;
        }
        let is_refused = |answer: &String| answer.is_empty() || answer.starts_with("HTTP/1.1 503");
        let answers = clients.join().unwrap();
        assert!(answers.iter().all(is_refused), "{answers:?}");
        // Each connection may have its turn between two turns of the other task.
        assert!(most <= (BODIES * 16) as u64, "{most} frames in one turn");
        let handled = budget.frames() - open_frames;
        assert!(handled <= (BODIES * 64) as u64, "{handled} frames of refused bodies");
        close.send_replace(true);
        server.await.unwrap();
        drop(opened);
    });
}

/// Guards against an answer whose body is altered because part of it looks like the head of an answer: such a body may
/// be cut anywhere into the writes to a slow caller.
#[test]
fn a_body_of_http_messages_arrives_unaltered() {
    let body = b"HTTP/1.1 200 OK\r\n\r\n".repeat(50_000);
    let (tx, rx) = std::sync::mpsc::channel();
    let (close, closing) = watch::channel(false);
    let answer = body.clone();
    let server = std::thread::spawn(move || {
        block_on(async move {
            let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            let handler = move |_| std::future::ready(Reply::json(StatusCode::OK, answer.clone()));
            serve(listener, LIMITS, budget(), closing, handler).await;
        });
    });
    let mut stream = connect(rx.recv_timeout(TEST_TIMEOUT).unwrap());
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").unwrap();
    let text = read_until_closed(&mut stream);
    let (head, received) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("\r\nX-Outcome: none"), "{head}");
    assert_eq!(received.len(), body.len());
    assert!(received.as_bytes() == body, "the body is altered");
    close.send_replace(true);
    server.join().unwrap();
}
