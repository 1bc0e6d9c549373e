//! Client of the HTTP API.
//!
//! The commands are a thin layer over it, so that other programs can use the same typed responses and errors.

pub mod apply;
pub mod evacuation;
pub mod message;

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use ureq::Agent;

use crate::catalogue::Document;
use crate::domain::DomainState;
use crate::ops::api::status::StatusView;
use crate::platform::table::Revision;
use message::{
    Change, ChangeList, DocumentList, DomainList, ErrorAnswer, NamedDocument, Submitted, TaskPage,
    TaskView,
};

/// Timeout of a whole request. A server itself waits at most a few seconds for the table service.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Why a call failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ClientError {
    /// The request was certainly not sent.
    #[error(
        "no process answers at {server} ({cause}); check that it runs, or name another one with --server"
    )]
    Unreachable {
        /// Address of the server as it was given.
        server: String,
        /// Message of the HTTP library.
        cause: String,
    },
    /// The request got no response, so it may have taken effect.
    #[error(
        "{server} did not respond ({cause}); the command may have taken effect, so check before you repeat it"
    )]
    NoAnswer {
        /// Address of the server as it was given.
        server: String,
        /// Message of the HTTP library.
        cause: String,
    },
    /// The server returned an error. The call had no effect unless the code says otherwise.
    #[error("{server} refused the request with status {status} ({code}): {message}; {hint}")]
    Refused {
        /// Address of the server as it was given.
        server: String,
        /// HTTP status.
        status: u16,
        /// Code of the error, for programs.
        code: String,
        /// What is wrong, for people.
        message: String,
        /// What to do about it, for people.
        hint: String,
        /// Current revision of the resource, if the edit was based on another one.
        revision: Option<Revision>,
    },
    /// The response does not follow the protocol.
    #[error(
        "the response from {server} cannot be decoded ({cause}); check that --server is a plantainlever process"
    )]
    Malformed {
        /// Address of the server as it was given.
        server: String,
        /// The codec's message.
        cause: String,
    },
    /// The request cannot be encoded.
    #[error("the request cannot be encoded: {cause}")]
    Encoding {
        /// The codec's message.
        cause: String,
    },
}

impl ClientError {
    /// True if the server refused an edit because another one was accepted first.
    #[must_use]
    pub fn is_lost_race(&self) -> bool {
        matches!(self, Self::Refused { status: 409, revision: Some(_), .. })
    }
}

/// Client of one server.
#[derive(Clone, Debug)]
pub struct Client {
    server: String,
    agent: Agent,
}

impl Client {
    /// Creates a client of the server at `IP:PORT` or `NAME:PORT`.
    #[must_use]
    pub fn new(server: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Self { server: server.to_owned(), agent: config.into() }
    }

    /// Returns the server's address as it was given.
    #[must_use]
    pub fn server(&self) -> &str {
        &self.server
    }

    /// Returns all documents of the catalogue.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn documents(&self) -> Result<DocumentList, ClientError> {
        self.get("/v1/catalogue")
    }

    /// Returns a document, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn document(&self, name: &str) -> Result<Option<NamedDocument>, ClientError> {
        match self.get(&format!("/v1/catalogue/{name}")) {
            Ok(document) => Ok(Some(document)),
            Err(ClientError::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Creates or replaces a document. `revision` is the one at which it was last read, or 0 if it did not exist.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`]; see [`ClientError::is_lost_race`].
    pub fn put_document(
        &self,
        name: &str,
        document: &Document,
        revision: Revision,
    ) -> Result<(), ClientError> {
        let body = encode(document)?;
        let path = format!("/v1/catalogue/{name}");
        self.send("PUT", &path, &[("If-Match", revision.to_string())], &body).map(drop)
    }

    /// Returns the newest changes of the catalogue, newest first.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn history(&self) -> Result<Vec<Change>, ClientError> {
        let mut list: ChangeList = self.get("/v1/catalogue?history")?;
        list.changes.sort_by_key(|change| std::cmp::Reverse(change.revision));
        Ok(list.changes)
    }

    /// Returns all failure domains with their states.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn domains(&self) -> Result<DomainList, ClientError> {
        self.get("/v1/domains")
    }

    /// Sets the state of a failure domain. The call is idempotent.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn set_domain(&self, name: &str, state: DomainState) -> Result<(), ClientError> {
        let body = encode(&crate::domain::state::DomainStateRow { state })?;
        self.send("PUT", &format!("/v1/domains/{name}"), &[], &body).map(drop)
    }

    /// Returns the first page of tasks, or the page that follows the task with ID `after`.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn task_page(&self, after: Option<&str>) -> Result<TaskPage, ClientError> {
        match after {
            Some(id) => self.get(&format!("/v1/tasks?after={id}")),
            None => self.get("/v1/tasks"),
        }
    }

    /// Returns all tasks. Reads them page by page, so the list is not a snapshot.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn tasks(&self) -> Result<Vec<TaskView>, ClientError> {
        let mut tasks = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = self.task_page(after.as_deref())?;
            tasks.extend(page.tasks);
            match page.next {
                // Guards against an endless loop if a server returns the same page again.
                Some(next) if after.as_ref() != Some(&next) => after = Some(next),
                _ => return Ok(tasks),
            }
        }
    }

    /// Submits a task of a catalogue entry. Sends no idempotency key, so a repeated call creates another task.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn submit(&self, entry: &str, args: &serde_json::Value) -> Result<Submitted, ClientError> {
        let body = encode(&serde_json::json!({ "entry": entry, "args": args }))?;
        let answer = self.send("POST", "/v1/tasks", &[], &body)?;
        self.decode(&answer)
    }

    /// Returns a task. An unknown task is an error with status 404.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn task(&self, id: &str) -> Result<TaskView, ClientError> {
        self.get(&format!("/v1/tasks/{id}"))
    }

    /// Cancels a task. A running task is stopped after the call returns.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn cancel(&self, id: &str) -> Result<(), ClientError> {
        self.send("DELETE", &format!("/v1/tasks/{id}"), &[], &[]).map(drop)
    }

    /// Returns the status of the server's process and of all failure domains.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub fn status(&self) -> Result<StatusView, ClientError> {
        self.get("/v1/status")
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let answer = self.send("GET", path, &[], &[])?;
        self.decode(&answer)
    }

    fn decode<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, ClientError> {
        serde_json::from_slice(body).map_err(|error| ClientError::Malformed {
            server: self.server.clone(),
            cause: error.to_string(),
        })
    }

    fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Result<Vec<u8>, ClientError> {
        let mut req = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.server));
        for (name, value) in headers {
            req = req.header(*name, value);
        }
        if !body.is_empty() {
            req = req.header("Content-Type", "application/json");
        }
        let req = req
            .body(body.to_vec())
            .map_err(|error| ClientError::Encoding { cause: error.to_string() })?;
        let mut answer = self.agent.run(req).map_err(|error| self.transport_error(&error))?;
        let status = answer.status().as_u16();
        let limited = answer.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let body = limited.read_to_vec().map_err(|error| self.transport_error(&error))?;
        if answer.status().is_success() { Ok(body) } else { Err(self.decode_error(status, &body)) }
    }

    fn transport_error(&self, error: &ureq::Error) -> ClientError {
        let server = self.server.clone();
        let cause = error.to_string();
        if is_connect_error(error) {
            ClientError::Unreachable { server, cause }
        } else {
            ClientError::NoAnswer { server, cause }
        }
    }

    fn decode_error(&self, status: u16, body: &[u8]) -> ClientError {
        match serde_json::from_slice::<ErrorAnswer>(body) {
            Ok(ErrorAnswer { error }) => ClientError::Refused {
                server: self.server.clone(),
                status,
                code: error.code,
                message: error.message,
                hint: error.hint,
                revision: error.revision,
            },
            Err(error) => ClientError::Malformed {
                server: self.server.clone(),
                cause: format!("status {status}, {error}"),
            },
        }
    }
}

/// True if the request was certainly not sent.
fn is_connect_error(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(timeout) => {
            matches!(timeout, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed | ureq::Error::BadUri(_) => true,
        _ => false,
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, ClientError> {
    serde_json::to_vec(value).map_err(|error| ClientError::Encoding { cause: error.to_string() })
}
