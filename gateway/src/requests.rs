//! What the gateway's tasks tell each other: requests, their final answers, attempts' ends, and discovery's lists. The
//! modules that follow a request import this one, and not each other in a ring.
use crate::http1::{Status, Whole};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use ternstack_balancer::{EndpointId, LoadReport, Outcome, RequestId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// A server's load report; it ends at the gateway.
pub const LOAD: &str = "X-Backend-Load";

/// How many inputs may wait; who comes then waits too.
pub const QUEUE: usize = 4096;

/// The way to the deciding task.
pub type Queue = mpsc::Sender<Input>;

/// What the deciding task is told.
#[derive(Debug)]
pub enum Input {
    /// A client's request has been taken.
    Request(Request),
    /// Its client has left, or ended its sending side: it still gets an answer, at once.
    Gone(RequestId),
    /// A attempt has ended.
    AttemptDone(AttemptDone),
    /// A probe has ended.
    Probed {
        /// The server that was asked.
        server: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// What the server told of its load.
        report: LoadReport,
    },
    /// Discovery has been heard, or lost.
    Discovery(News),
}

/// A request, in terms that any front can give.
#[derive(Debug)]
pub struct Request {
    /// Its number, used once.
    pub id: RequestId,
    /// The number of its class in the settings.
    pub class: usize,
    /// The number of its tenant in the settings.
    pub tenant: Option<usize>,
    /// When its client stops waiting.
    pub deadline: Instant,
    /// What goes on to a server.
    pub raw: RawRequest,
    /// Takes the one final answer.
    pub answer_to: oneshot::Sender<Answer>,
}

/// A request as it goes on: opaque bytes, in which only the time left is filled in.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// What stands before the time left.
    pub before: Bytes,
    /// What stands after it.
    pub after: Bytes,
    /// What follows that, as the client sent it.
    pub body: Bytes,
}

/// The one final answer to a request, whatever front it came through.
#[derive(Debug)]
pub enum Answer {
    /// A server has served it.
    Served(Whole<Status>),
    /// The refusal: trying again is harmless, after the time given (0 for no advice).
    Refused {
        /// When to come back, in ms from now.
        retry_after_ms: f64,
    },
    /// It failed, with no promise about its effect.
    Failed,
    /// Its time was up before the module had decided.
    Overdue,
}

/// How a request's attempt ended; there is exactly one for each.
#[derive(Debug)]
pub struct AttemptDone {
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub number: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// When.
    pub at: Instant,
    /// The load report that came along.
    pub report: LoadReport,
    /// The server's answer, if it is what the client wants.
    pub answer: Option<Whole<Status>>,
}

/// What discovery says of a server's readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum State {
    /// Takes work.
    Serving,
    /// Finishes what it holds.
    Draining,
    /// Gone, among changes only.
    Deleted,
}

/// A server as discovery lists it. Fields that are not known here are skipped.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Endpoint {
    /// Its name, the same at every gateway and after a restart.
    pub uid: String,
    /// Where it listens for this gateway; what is gone may have none.
    pub endpoint: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u32,
    /// Whether it takes work.
    pub state: State,
    /// Its size in relation to the others.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// Its last start as Unix time in ms; 0 for long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// Discovery's list, or the changes in it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct EndpointList {
    /// Its version.
    pub rev: u64,
    /// The whole list, not changes.
    pub all: bool,
    /// The entries.
    pub targets: Vec<Endpoint>,
}

impl EndpointList {
    /// Reads a list from JSON text.
    pub fn from_slice(text: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(text).map_err(|e| e.to_string()).and_then(Self::checked)
    }

    /// Reads a list from a JSON value.
    pub fn from_value(value: &Value) -> Result<Self, String> {
        Self::deserialize(value).map_err(|e| e.to_string()).and_then(Self::checked)
    }

    /// Guards against a list that is only half understood: a server that serves has an address.
    fn checked(self) -> Result<Self, String> {
        let nowhere = |h: &&Endpoint| h.state != State::Deleted && h.endpoint.is_none();
        match self.targets.iter().find(nowhere) {
            Some(entry) => Err(format!("targets: {}: endpoint is missing", entry.uid)),
            None => Ok(self),
        }
    }
}

/// News for the module.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The list, or changes in it.
    Listed(EndpointList),
    /// A call failed: the old list stands, and the module says when to ask again.
    Lost,
}
