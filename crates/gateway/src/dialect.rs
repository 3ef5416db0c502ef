//! The border to the outside world's names and formats.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::flow::{Change, Delta, Instance, Prompt, RouteConfig};
use briarbank_core::ids::{ServerName, WorkspaceName};
use http::{HeaderMap, request, response};

use crate::error::{DecodeError, HeadError};

/// What the head of a call says, beside its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the call.
    pub id: Arc<str>,
    /// Key of the caller.
    pub key: Option<Arc<str>>,
    /// Time that the caller waits.
    pub time_left: Option<Duration>,
    /// Set for calls of models.
    pub prompt: Option<Prompt>,
}

/// What a server is told beside the call itself.
#[derive(Clone, Debug)]
pub struct ForwardContext {
    /// The server that is meant.
    pub instance: ServerName,
    /// Time until nobody waits for the answer any more.
    pub time_left: Duration,
    /// Workspace of the caller's key.
    pub workspace: Option<WorkspaceName>,
    /// Urgency, 0 is the most urgent.
    pub urgency: u8,
    /// Whether the server is a model engine.
    pub is_model: bool,
    /// Event after which a stream goes on.
    pub last_event: Option<Arc<str>>,
}

/// What an answer claims to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The server's answer to this call, with its proof.
    Verified,
    /// An answer to this call without the server's proof.
    Unverified,
    /// The answer to another call.
    OtherCall,
    /// The server did not run the call and never will.
    NotRun,
    /// Another server than the one that was meant has answered; it did not run the call.
    OtherInstance,
}

/// What the head of an answer says, beside its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// What the answer claims to be.
    pub kind: AnswerKind,
    /// Whether the connection ends with the answer.
    pub is_last: bool,
    /// Time for which the server keeps the connection when idle.
    pub keep_idle: Option<Duration>,
}

/// A read of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRead {
    /// All values in order of their keys, after a key.
    Page {
        /// Last key of the page before.
        after: Option<Arc<str>>,
    },
    /// What comes after a revision, waited for.
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
}

/// A published value.
#[derive(Clone, Debug, PartialEq)]
pub enum Published {
    /// The operator's configuration.
    Config(RouteConfig),
    /// The entry of a server.
    Server(Instance),
    /// Nothing that the router uses.
    Other,
}

/// Translates between the router and its outside world.
pub trait Dialect {
    /// Decodes the head of a call.
    ///
    /// # Errors
    ///
    /// The head can't be used; the call is refused for good.
    fn decode_call(&self, head: &request::Parts) -> Result<CallHead, HeadError>;

    /// Headers for a server.
    fn server_headers(&self, head: &request::Parts, context: &ForwardContext) -> HeaderMap;

    /// Decodes the head of an answer to the call `id`.
    fn decode_answer(&self, head: &response::Parts, id: &str) -> AnswerHead;

    /// Leaves in an answer's headers what is meant for the caller.
    fn caller_headers(&self, headers: &mut HeaderMap);

    /// Adds to a refusal when the caller may come back.
    fn retry_after(&self, headers: &mut HeaderMap, pause: Duration);

    /// Path and query of a read of the store.
    fn store_path(&self, read: &StoreRead) -> String;

    /// Decodes a page of values.
    ///
    /// # Errors
    ///
    /// The body can't be decoded.
    fn decode_page(&self, body: &[u8]) -> Result<Page, DecodeError>;

    /// Decodes what a watch heard.
    ///
    /// # Errors
    ///
    /// The body can't be decoded.
    fn decode_events(&self, body: &[u8]) -> Result<Delta, DecodeError>;

    /// Decodes a value.
    ///
    /// # Errors
    ///
    /// The value can't be decoded; it may come from another writer.
    fn decode_value(&self, change: &Change) -> Result<Published, DecodeError>;

    /// Name of the server whose entry lies under a key.
    fn server_of_key<'a>(&self, key: &'a str) -> Option<&'a str>;
}
