//! Following the store of published values.

use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::Delta;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::apply::Source;
use crate::dialect::StoreRead;
use crate::error::DecodeError;
use crate::shared::SharedState;

/// Time to connect to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for an answer beyond the wait that was asked for; the slowest answers
/// seen on days with a slow store took 0.3 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Wait of a watch; each call has a price, and a deaf one is noticed by peers.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Time between two looks of a node that leaves the store to others.
const IDLE_LOOK: Duration = Duration::from_millis(500);

/// First and longest pause after a failed call.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Largest answer, the store's largest page and its base64 expansion.
const ANSWER_BYTES_MAX: usize = 16 << 20;

quick_error! {
    /// Why a read of the store failed.
    #[derive(Debug)]
    enum ReadError {
        Connect(error: std::io::Error) { display("no connection: {error}") from() }
        Http(error: hyper::Error) { display("connection broke: {error}") from() }
        Body(error: Box<dyn std::error::Error + Send + Sync>) { display("body: {error}") }
        Status(status: StatusCode) { display("refused with {status}") }
        Forgotten { display("history is no longer available") }
        Silent { display("no answer in time") }
        ConnectionSuspect { display("peers have newer values") }
        Decode(error: DecodeError) { display("{error}") from() }
        Request(error: http::Error) { display("{error}") from() }
    }
}

/// Reads the store and keeps the node's copy of it up to date.
pub(crate) async fn follow(shared: Rc<SharedState>) {
    let mut reader = Reader {
        shared: Rc::clone(&shared),
        connection: None,
    };
    let mut pause = PAUSE.0;
    let mut is_known = false;
    loop {
        let read = async {
            if is_known {
                reader.watch().await
            } else {
                reader.read_all().await
            }
        };
        let result = tokio::select! {
            result = read => result,
            () = shared.store.connection_suspect.notified() => Err(ReadError::ConnectionSuspect),
        };
        match result {
            Ok(has_read) => {
                is_known = true;
                pause = PAUSE.0;
                if has_read {
                    regained(&shared);
                }
            }
            Err(ReadError::ConnectionSuspect) => {
                // The connection may be dead, which says nothing of the store.
                reader.connection = None;
            }
            Err(error) => {
                is_known &= !matches!(error, ReadError::Forgotten);
                reader.connection = None;
                lost(&shared, &error, is_known);
                let jitter = rand::rng().random_range(0.5..1.5);
                sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(PAUSE.1);
            }
        }
    }
}

fn regained(shared: &SharedState) {
    let now = Instant::now();
    shared.store.read_at.set(Some(now));
    if shared.store.is_lost.replace(false) {
        shared.store.regained_at.set(Some(now));
        tracing::info!(
            revision = shared.mirror.borrow().revision(),
            "store: regained"
        );
    }
}

fn lost(shared: &SharedState, error: &ReadError, is_known: bool) {
    metrics::counter!("briarbank_store_failures_total").increment(1);
    let age_ms = shared
        .store
        .read_at
        .get()
        .map(|at| at.elapsed().as_millis());
    let revision = shared.mirror.borrow().revision();
    tracing::warn!(%error, revision, age_ms, is_known, "store: read failed");
    if !matches!(error, ReadError::Forgotten) {
        shared.store.is_lost.set(true);
    }
}

struct Reader {
    shared: Rc<SharedState>,
    connection: Option<SendRequest<Empty<Bytes>>>,
}

impl Reader {
    async fn read_all(&mut self) -> Result<bool, ReadError> {
        let mut whole = Delta {
            is_whole: true,
            ..Delta::default()
        };
        let mut after = None;
        loop {
            let body = self
                .call(&StoreRead::Page { after }, Duration::ZERO)
                .await?;
            let page = self.shared.dialect.decode_page(&body)?;
            if whole.revision == 0 {
                // Later pages may show later changes; the watch goes on from the first.
                whole.revision = page.delta.revision;
            }
            whole.changes.extend(page.delta.changes);
            if !page.has_more || page.last_key.is_none() {
                break;
            }
            after = page.last_key;
        }
        self.shared.apply(&whole, Source::Store);
        Ok(true)
    }

    /// Waits for changes; false when that is left to other nodes.
    async fn watch(&mut self) -> Result<bool, ReadError> {
        let should_watch = self.shared.peers.borrow().should_watch(Instant::now());
        if self.shared.store.is_watching.replace(should_watch) != should_watch {
            tracing::info!(should_watch, "store: who follows the store has changed");
        }
        if !should_watch {
            self.connection = None;
            self.shared.store.is_lost.set(false);
            sleep(IDLE_LOOK).await;
            return Ok(false);
        }
        let revision = self.shared.mirror.borrow().revision();
        let wait = WATCH_WAIT;
        let body = self
            .call(&StoreRead::Watch { revision, wait }, wait)
            .await?;
        let delta = self.shared.dialect.decode_events(&body)?;
        self.shared.apply(&delta, Source::Store);
        Ok(true)
    }

    async fn call(&mut self, read: &StoreRead, wait: Duration) -> Result<Bytes, ReadError> {
        metrics::counter!("briarbank_store_calls_total").increment(1);
        let answered = timeout(wait + ANSWER_TIMEOUT, self.exchange(read)).await;
        answered.unwrap_or(Err(ReadError::Silent))
    }

    async fn exchange(&mut self, read: &StoreRead) -> Result<Bytes, ReadError> {
        let address = self.shared.settings().store_address;
        let mut sender = match self.connection.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => self.connect().await?,
        };
        let request = Request::get(self.shared.dialect.store_path(read))
            .header(http::header::HOST, address.to_string())
            .body(Empty::new())?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX);
        let body = body.collect().await.map_err(ReadError::Body)?.to_bytes();
        self.connection = Some(sender);
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => Err(ReadError::Forgotten),
            status => Err(ReadError::Status(status)),
        }
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
