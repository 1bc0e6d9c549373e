//! Limits on callers that are slow or silent or send malformed requests.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::rig::{EntryProcess, Site, WAIT_TIMEOUT};

fn connect(entry: &EntryProcess) -> TcpStream {
    let stream = TcpStream::connect(entry.front.address()).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Reads until the server closes the connection or the read timeout expires.
fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    // A reset after the answer ends the connection too.
    let _ = stream.read_to_end(&mut text);
    String::from_utf8(text).unwrap()
}

/// Guards against a caller that occupies a connection or a thread forever by sending nothing or only the start of a
/// request.
#[test]
fn a_silent_caller_is_disconnected() {
    let site = Site::default();
    let entry = site.entry("p1", "a");
    let starts = ["", "POST /v1/serv", "POST /v1/services/echo/x HTTP/1.1\r\nContent-Le"];
    for start in starts {
        let mut stream = connect(&entry);
        stream.write_all(start.as_bytes()).unwrap();
        let started = Instant::now();
        assert_eq!(read_to_end(&mut stream), "");
        assert!(started.elapsed() < WAIT_TIMEOUT / 2);
    }
    entry.close();
}

/// Guards against a caller that occupies a front thread by sending its body one byte at a time.
#[test]
fn a_body_that_comes_byte_by_byte_is_refused() {
    let site = Site::default();
    let entry = site.entry("p1", "a");
    let mut stream = connect(&entry);
    stream
        .write_all(b"POST /v1/services/echo/x HTTP/1.1\r\nContent-Length: 100000\r\n\r\n")
        .unwrap();
    let started = Instant::now();
    stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let mut answer = String::new();
    let mut buf = [0; 4096];
    while !answer.contains("body-too-slow") {
        assert!(started.elapsed() < WAIT_TIMEOUT, "no answer: {answer}");
        // The server may have closed the connection after its answer.
        let _ = stream.write_all(b"x");
        if let Ok(count) = stream.read(&mut buf) {
            answer.push_str(std::str::from_utf8(&buf[..count]).unwrap());
        }
    }
    assert!(
        answer.starts_with("HTTP/1.1 408") && answer.contains("Plantainlever-Outcome: not-run")
    );
    entry.close();
}

/// Guards against a server that stops accepting after a time without callers, because the read timeout that accepted
/// sockets inherit also ends `accept`.
#[test]
fn the_front_still_accepts_after_a_time_without_callers() {
    let site = Site::default();
    let entry = site.entry("p1", "a");
    let idle = entry.cx.cfg.timing.read_timeout() * 4;
    let started = Instant::now();
    super::rig::wait_for("the end of the idle time", || started.elapsed() > idle);
    assert_eq!(entry.call("GET", "/healthz", &[], b"").status, 200);
    entry.close();
}

/// Guards against a process that is aborted because a caller's Content-Length exceeds the memory.
#[test]
fn a_huge_content_length_is_refused() {
    let site = Site::default();
    let entry = site.entry("p1", "a");
    // The HTTP library refuses the last length itself, because it is too large for its integer type.
    let cases = [
        ("1000000000000", b"HTTP/1.1 413"),
        ("9223372036854775807", b"HTTP/1.1 413"),
        ("18446744073709551615", b"HTTP/1.1 431"),
    ];
    for (length, expected) in cases {
        let mut stream = connect(&entry);
        let head = format!("POST /v1/services/echo/x HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, expected);
    }
    assert_eq!(entry.call("GET", "/healthz", &[], b"").status, 200);
    entry.close();
}

/// Guards against a caller that occupies a connection forever by sending its header one byte at a time.
#[test]
fn a_header_that_comes_byte_by_byte_is_refused() {
    let site = Site::default();
    let entry = site.entry("p1", "a");
    let mut stream = connect(&entry);
    stream.write_all(b"GET /healthz HTTP/1.1\r\nX: ").unwrap();
    let limit = entry.cx.cfg.timing.read_timeout() * 10;
    let started = Instant::now();
    stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let mut buf = [0; 1];
    loop {
        assert!(started.elapsed() < limit, "the connection is still open after {limit:?}");
        let is_timeout = |kind| matches!(kind, std::io::ErrorKind::WouldBlock);
        match stream.write_all(b"x").and_then(|()| stream.read(&mut buf)) {
            Ok(_) => break,
            Err(error) if is_timeout(error.kind()) => {}
            Err(_) => break,
        }
    }
    entry.close();
}

/// Guards against answers without an outcome, which the HTTP library itself gives to malformed requests.
#[test]
fn a_malformed_request_gets_an_outcome() {
    let site = Site::default();
    let entry = site.entry("p1", "a");
    for request in ["nonsense\r\n\r\n", "GET /healthz HTTP/1.1\r\nno colon\r\n\r\n"] {
        let mut stream = connect(&entry);
        stream.write_all(request.as_bytes()).unwrap();
        let answer = read_to_end(&mut stream);
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert!(answer.contains("Plantainlever-Outcome: not-run"), "{answer}");
    }
    entry.close();
}
