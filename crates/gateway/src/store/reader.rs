//! Reads and watches the store of published values.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{NextRead, PageWalk, StoreReads, era_of};
use briarbank_net::BodyError;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::time::{sleep, sleep_until};

use super::full_read::FullRead;
use crate::apply::Source;
use crate::dialect::{Page, StoreRead, ValueRange};
use crate::error::DecodeError;
use crate::shared::SharedState;

/// Timeout of a connect to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the head of an answer beyond the requested wait, and between parts of its body.
///
/// A slow store takes up to 0.3 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for an answer after which peers with newer values show that the connection is dead.
///
/// Shorter than this, the answer may be late and still on its way.
const OVERDUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two checks whether this node has to watch the store.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Largest answer: the store's largest page with its base64 expansion.
const ANSWER_BYTES_MAX: usize = 16 << 20;

quick_error! {
    /// Error of a request to the store.
    #[derive(Debug)]
    pub enum ReadError {
        Connect(error: std::io::Error) { display("connecting to the store failed: {error}") from() }
        Http(error: hyper::Error) { display("connection to the store broke: {error}") from() }
        Body(error: BodyError) { display("reading the body failed: {error}") from() }
        Status(status: StatusCode) { display("store refused with status {status}") }
        HistoryLost { display("history after the requested revision is no longer available") }
        Silent { display("store did not answer in time") }
        ConnectionSuspect { display("peers have newer values") }
        EntriesDue { display("entries that were left out are wanted") }
        NoProgress { display("pages lead to no end") }
        Decode(error: DecodeError) { display("decoding the answer failed: {error}") from() }
        Request(error: http::Error) { display("building the request failed: {error}") from() }
    }
}

impl ReadError {
    /// Returns whether the store answers, but the answer is of no use.
    ///
    /// Other answers may be.
    pub(super) fn is_of_content(&self) -> bool {
        matches!(
            self,
            Self::NoProgress
                | Self::Decode(_)
                | Self::Body(BodyError::TooLarge(_))
                | Self::Request(_)
        )
    }
}

/// Counts items that cannot be read.
fn record_unreadable(count: usize) {
    metrics::counter!("briarbank_store_items_unreadable_total").increment(count as u64);
}

/// Waits until a request that is sent now is given up; returns the reason.
async fn overdue(shared: &SharedState, reads: &StoreReads, wait: Duration) -> ReadError {
    let sent_at = Instant::now();
    let give_up_at = || {
        let peers = shared.peers.borrow();
        let staleness = shared.staleness.borrow();
        let give_up_at = reads.give_up_at(Instant::now(), sent_at, &peers, &staleness);
        give_up_at.min(sent_at + wait + ANSWER_TIMEOUT)
    };
    loop {
        tokio::select! {
            () = shared.store.peers_are_newer.notified() => {
                if sent_at.elapsed() >= OVERDUE_TIMEOUT {
                    return ReadError::ConnectionSuspect;
                }
            }
            () = sleep_until(give_up_at().into()) => {
                // The values may have been confirmed meanwhile.
                if give_up_at() <= Instant::now() {
                    return ReadError::Silent;
                }
            }
        }
    }
}

/// Sets a flag until dropped, while an answer is being received.
struct Receiving<'a>(&'a Cell<bool>);

impl<'a> Receiving<'a> {
    fn start(flag: &'a Cell<bool>) -> Self {
        flag.set(true);
        Self(flag)
    }
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Client of the store, which reuses its connection.
pub(super) struct Reader {
    shared: Rc<SharedState>,
    /// The open connection, dropped when it may be silent.
    pub(super) connection: Option<SendRequest<Empty<Bytes>>>,
    pub(super) reads: StoreReads,
}

impl Reader {
    pub(super) fn new(shared: &Rc<SharedState>) -> Self {
        Self {
            shared: Rc::clone(shared),
            connection: None,
            reads: StoreReads::default(),
        }
    }

    /// Reads all values, page by page.
    ///
    /// What can be read is applied, also if some pages can't.
    pub(super) async fn read_all(&mut self) -> Result<bool, ReadError> {
        let sent_at = Instant::now();
        let mut read = FullRead::start();
        let mut result = Ok(());
        for range in ValueRange::ALL {
            result = result.and(self.read_range(range, &mut read).await);
            if result.as_ref().is_err_and(|error| !error.is_of_content()) {
                break;
            }
        }
        read.apply(&self.shared);
        result?;
        let mut staleness = self.shared.staleness.borrow_mut();
        staleness.record_complete(sent_at);
        Ok(true)
    }

    /// Reads the pages of a range up to the first that cannot be read.
    async fn read_range(
        &mut self,
        range: ValueRange,
        read: &mut FullRead,
    ) -> Result<(), ReadError> {
        let (mut after, mut walk) = (None, PageWalk::default());
        loop {
            let page = self.read_page(range, after.clone()).await;
            let page = page.inspect_err(|error| {
                if error.is_of_content() {
                    tracing::warn!(?range, ?after, %error, "store: page cannot be read");
                }
            })?;
            let next = page.has_more.then(|| page.last_key.clone());
            read.add(&self.shared, page)?;
            read.apply_if_slow(&self.shared);
            after = match next {
                None => break,
                Some(Some(key)) if walk.go_on(&key) => Some(key),
                Some(_) => {
                    tracing::warn!(?range, ?after, "store: page leads to no other one");
                    return Err(ReadError::NoProgress);
                }
            };
        }
        read.finish(&self.shared, range);
        Ok(())
    }

    async fn read_page(
        &mut self,
        range: ValueRange,
        after: Option<Arc<str>>,
    ) -> Result<Page, ReadError> {
        let read = StoreRead::Page { range, after };
        let (headers, body) = self.request(&read, Duration::ZERO).await?;
        let page = self.shared.dialect.decode_page(&headers, &body)?;
        record_unreadable(page.unreadable);
        Ok(page)
    }

    /// Waits for changes; returns false if other nodes read the store instead.
    pub(super) async fn watch(&mut self) -> Result<bool, ReadError> {
        let wait = match self.next_read() {
            NextRead::Watch(wait) => wait,
            NextRead::Idle(until) => {
                self.connection = None;
                self.shared.store.is_failing.set(false);
                self.shared.store.failing_since.set(None);
                let rest = until.saturating_duration_since(Instant::now());
                sleep(rest.min(IDLE_POLL_INTERVAL)).await;
                return Ok(false);
            }
        };
        self.read_changes(wait).await?;
        Ok(true)
    }

    /// Reads the changes that this node lacks.
    pub(super) async fn confirm(&mut self) -> Result<(), ReadError> {
        self.read_changes(Duration::ZERO).await
    }

    /// Waits for changes that follow those that are known, and applies them.
    async fn read_changes(&mut self, wait: Duration) -> Result<(), ReadError> {
        let revision = self.shared.values.borrow().revision();
        let sent_at = Instant::now();
        let (headers, body) = self
            .request(&StoreRead::Watch { revision, wait }, wait)
            .await?;
        let events = self.shared.dialect.decode_events(&headers, &body)?;
        record_unreadable(events.unreadable);
        let mut delta = events.delta;
        if era_of(delta.revision) != era_of(revision) {
            // The changes do not follow those that are known.
            return Err(ReadError::HistoryLost);
        }
        let is_empty = delta.changes.is_empty() && delta.removals.is_empty();
        if is_empty && delta.revision > revision {
            // The answer leaves out what has changed.
            return Err(ReadError::HistoryLost);
        }
        self.shared.retain_usable(&mut delta.changes);
        self.shared.apply(&delta, None, Source::Store);
        // The store waits that long for changes before it answers that there are none.
        let waited = if is_empty { wait } else { Duration::ZERO };
        let complete_at = (sent_at + waited).min(Instant::now());
        let mut staleness = self.shared.staleness.borrow_mut();
        staleness.record_complete(complete_at);
        Ok(())
    }

    /// Returns how to read next, and records whether this node is one of those that watch.
    fn next_read(&self) -> NextRead {
        let now = Instant::now();
        let store = &self.shared.store;
        let peers = self.shared.peers.borrow();
        let should_watch = peers.should_watch(now);
        if store.is_watching.replace(should_watch) != should_watch {
            tracing::info!(should_watch, "store: role in watching the store changed");
        }
        let staleness = self.shared.staleness.borrow();
        let next = self.reads.next(now, &peers, &staleness);
        if !should_watch && matches!(next, NextRead::Watch(_)) {
            let values_age_ms = staleness.age(now).map(|age| age.as_millis());
            tracing::info!(
                values_age_ms,
                "store: reading, as peers do not confirm the values"
            );
        }
        next
    }

    /// Sends a request whose answer begins before it is given up.
    ///
    /// Once it has begun, it may take as long as it makes progress.
    async fn request(
        &mut self,
        read: &StoreRead,
        wait: Duration,
    ) -> Result<(HeaderMap, Bytes), ReadError> {
        metrics::counter!("briarbank_store_calls_total").increment(1);
        let shared = Rc::clone(&self.shared);
        let reads = self.reads;
        let (sender, response) = tokio::select! {
            answered = self.send(read) => answered?,
            error = overdue(&shared, &reads, wait) => return Err(error),
        };
        let (head, body) = response.into_parts();
        let receiving = Receiving::start(&shared.store.is_receiving);
        let body = briarbank_net::read_body(body, ANSWER_TIMEOUT, ANSWER_BYTES_MAX).await?;
        drop(receiving);
        self.connection = Some(sender);
        match head.status {
            StatusCode::OK => Ok((head.headers, body)),
            StatusCode::GONE => Err(ReadError::HistoryLost),
            status => Err(ReadError::Status(status)),
        }
    }

    /// Sends a request and returns the head of its answer.
    async fn send(
        &mut self,
        read: &StoreRead,
    ) -> Result<(SendRequest<Empty<Bytes>>, Response<Incoming>), ReadError> {
        let address = self.shared.settings().store_address;
        let mut sender = match self.connection.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => self.connect().await?,
        };
        let request = Request::get(self.shared.dialect.store_path(read))
            .header(http::header::HOST, address.to_string())
            .body(Empty::new())?;
        let response = sender.send_request(request).await?;
        Ok((sender, response))
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, ReadError> {
        let address = self.shared.settings().store_address;
        let stream = briarbank_net::connect(address, CONNECT_TIMEOUT).await?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        self.shared.tasks.spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "store: connection ended");
            }
        });
        Ok(sender)
    }
}
