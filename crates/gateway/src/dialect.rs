//! Interface to the names and formats of the outside world.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::flow::{Change, Delta, Instance, Prompt, RouteConfig};
use briarbank_core::ids::{ServerName, WorkspaceName, ZoneName};
use http::{HeaderMap, request, response};

use crate::error::{DecodeError, HeadError};

/// Decoded head of a call, without its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the call.
    pub id: Arc<str>,
    /// Key of the caller.
    pub key: Option<Arc<str>>,
    /// Time for which the caller waits.
    pub time_left: Option<Duration>,
    /// Prompt of a call to a model.
    pub prompt: Option<Prompt>,
    /// Set if the caller asks for the rest of a stream that broke off.
    pub taken_up: Option<TakenUpStream>,
}

/// A stream that broke off and that its caller takes up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenUpStream {
    /// Id of the call that brought the stream's first event, `None` if it is not given.
    pub first_call: Option<Arc<str>>,
    /// Id of the last event that the caller has.
    pub last_event: Option<Arc<str>>,
}

/// What a forwarded request needs besides the call's own head.
#[derive(Clone, Debug)]
pub struct ForwardContext {
    /// The server that the call is meant for.
    pub instance: ServerName,
    /// Time until the caller stops waiting.
    pub time_left: Duration,
    /// Workspace of the caller's key.
    pub workspace: Option<WorkspaceName>,
    /// Urgency, 0 is the most urgent.
    pub urgency: u8,
    /// Whether the server is a model engine.
    pub is_model: bool,
    /// Id of the event after which a stream resumes.
    pub last_event: Option<Arc<str>>,
}

/// What the head of an answer shows it to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// An answer to this call with the server's proof.
    Verified,
    /// An answer to this call without the server's proof.
    Unverified,
    /// The answer to another call.
    OtherCall,
    /// The server did not run the call and never will.
    NotRun,
    /// Another server than the intended one answered and did not run the call.
    OtherInstance,
}

/// What a server says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Requests per second that it takes from all nodes together, `None` if unlimited.
    pub limit_per_s: Option<f64>,
    /// Rejections per second that it survives, `None` if any number.
    pub rejections_per_s: Option<u16>,
    /// Whether it leaves and takes no further calls.
    pub is_leaving: bool,
    /// Time for which it wants no calls from this node.
    pub refusal: Option<Duration>,
    /// Time for which it is cold, `None` if it does not say.
    pub cold: Option<Duration>,
    /// Its load, `None` if it does not say.
    pub load: Option<StatedLoad>,
}

/// Load that a server states in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLoad {
    /// Calls that it processes.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that it can process at the same time.
    pub slots: u32,
    /// How long work takes at this moment as a multiple of the usual time.
    ///
    /// `None` from servers that have their host to themselves.
    pub slowness: Option<f64>,
}

/// Decoded head of an answer, without its status.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerHead {
    /// What the head shows the answer to be.
    pub kind: AnswerKind,
    /// Whether the server closes the connection after the answer.
    pub is_last: bool,
    /// Time for which the server keeps an idle connection open.
    pub keep_idle: Option<Duration>,
    /// What the server says of itself.
    pub notice: ServerNotice,
}

/// A range of published values that is read by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueRange {
    /// The operator's configuration.
    Config,
    /// Evacuations of availability zones.
    Evacuations,
    /// Entries of servers.
    Servers,
}

impl ValueRange {
    /// All ranges, in the order in which they are read.
    pub const ALL: [Self; 3] = [Self::Config, Self::Evacuations, Self::Servers];
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRead {
    /// Reads the values of a range after a key.
    Page {
        /// The range.
        range: ValueRange,
        /// Last key of the preceding page.
        after: Option<Arc<str>>,
    },
    /// Waits for changes after a revision.
    Watch {
        /// The revision.
        revision: u64,
        /// Longest wait.
        wait: Duration,
    },
}

/// A page of published values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Whether another page follows.
    pub has_more: bool,
    /// Last key of the page.
    pub last_key: Option<Arc<str>>,
    /// The values, and the revision of the store when the page was read.
    pub delta: Delta,
    /// Number of items that cannot be read, which are left out.
    pub unreadable: usize,
}

/// Changes of published values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// The changes, and the revision up to which they are complete.
    pub delta: Delta,
    /// Number of changes that cannot be read, which are left out.
    pub unreadable: usize,
}

/// A published value.
#[derive(Clone, Debug, PartialEq)]
pub enum Published {
    /// The operator's configuration.
    Config(RouteConfig),
    /// The entry of a server.
    Server(Instance),
    /// The request to send nothing more to the servers of an availability zone.
    Evacuation(ZoneName),
    /// A value that the router does not use.
    Other,
}

/// Translates between the router and the outside world.
pub trait Dialect {
    /// Decodes the head of a call.
    ///
    /// # Errors
    ///
    /// The head is invalid; a retry of the call would be refused as well.
    fn decode_call(&self, head: &request::Parts) -> Result<CallHead, HeadError>;

    /// Builds the headers of a request to a server.
    fn server_headers(&self, head: &request::Parts, context: &ForwardContext) -> HeaderMap;

    /// Decodes the head of an answer to the call `id`.
    fn decode_answer(&self, head: &response::Parts, id: &str) -> AnswerHead;

    /// Removes the headers of an answer that are not meant for the caller.
    fn caller_headers(&self, headers: &mut HeaderMap);

    /// Adds the time after which the caller may retry.
    fn retry_after(&self, headers: &mut HeaderMap, delay: Duration);

    /// Returns path and query of a request to the store.
    fn store_path(&self, read: &StoreRead) -> String;

    /// Decodes a page of values; revisions are ordered by the store's era first.
    ///
    /// # Errors
    ///
    /// The body is malformed.
    fn decode_page(&self, headers: &HeaderMap, body: &[u8]) -> Result<Page, DecodeError>;

    /// Decodes the answer to a watch; revisions are ordered by the store's era first.
    ///
    /// # Errors
    ///
    /// The body is malformed.
    fn decode_events(&self, headers: &HeaderMap, body: &[u8]) -> Result<Events, DecodeError>;

    /// Decodes a value.
    ///
    /// # Errors
    ///
    /// The value is malformed; it may come from another writer.
    fn decode_value(&self, change: &Change) -> Result<Published, DecodeError>;

    /// Returns the value of an entry with only what the router uses of it.
    ///
    /// # Errors
    ///
    /// The value is malformed; it may come from another writer.
    fn reduce_entry(&self, change: &Change) -> Result<Vec<u8>, DecodeError>;

    /// Returns whether the router uses values under a key.
    fn is_used(&self, key: &str) -> bool;

    /// Returns the name of the server whose entry has the given key.
    fn server_of_key<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Returns the name of the availability zone whose evacuation has the given key.
    fn evacuated_zone_of_key<'a>(&self, key: &'a str) -> Option<&'a str>;
}
