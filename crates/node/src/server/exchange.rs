//! Sending of a call to a server, up to the head of the answer.

use std::future::Future;
use std::pin::pin;
use std::time::{Duration, Instant};

use briarbank_core::call::Failure;
use briarbank_core::node::Event;
use briarbank_core::router::AttemptEvent;
use briarbank_net::is_final;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::head::{NotRun, ServerHead};
use super::pool::{Connection, IDLE_TIMEOUT, Pool};
use super::request;
use crate::call::{Inbound, ResumePoint, SentMark};
use crate::command::Attempt;
use crate::control::Control;

/// Longest idle time of a connection for a call that is not idempotent.
///
/// A server may close an idle connection just when the call is sent, and then
/// it is unknown whether the call ran; servers keep idle connections longer.
const NON_IDEMPOTENT_IDLE_MAX: Duration = Duration::from_secs(1);

/// Resources that an attempt uses.
#[derive(Clone, Copy)]
pub(crate) struct Upstream<'a> {
    pub(crate) control: &'a Control,
    pub(crate) pool: &'a Pool,
    pub(crate) inbound: &'a Inbound,
    pub(crate) sent: &'a SentMark,
}

/// Attempt that its server accepted, with the start of the answer.
pub(crate) struct Accepted {
    pub(super) attempt: Attempt,
    pub(super) connection: Connection,
    pub(super) response: Response<Incoming>,
    pub(super) head: ServerHead,
    /// Tokens of the answer when the call was sent.
    pub(super) resume_tokens: u32,
}

/// One attempt until its server accepts the call.
///
/// It reads nothing of the answer, so that another attempt can go on meanwhile.
pub(crate) struct Exchange<'a> {
    pub(crate) upstream: Upstream<'a>,
    pub(crate) attempt: Attempt,
    pub(crate) resume: ResumePoint,
}

impl Upstream<'_> {
    /// Waits for a server and reports each period of its silence.
    ///
    /// The core decides whether the call moves to another server.
    ///
    /// # Errors
    ///
    /// [`Failure::Silent`] when the server is silent at the call's time limit.
    pub(super) async fn wait_for<T>(
        &self,
        attempt: &Attempt,
        silence_timeout: Duration,
        answer: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let limit = self.inbound.call.received + attempt.silence_timeouts.whole;
        let mut answer = pin!(answer);
        loop {
            if let Ok(output) = timeout(silence_timeout, &mut answer).await {
                return Ok(output);
            }
            if let Some(address) = attempt.address {
                self.pool.purge(address);
            }
            let id = attempt.dispatch.attempt;
            self.control.send_attempt_event(id, AttemptEvent::Silent);
            if Instant::now() >= limit {
                return Err(Failure::Silent);
            }
        }
    }
}

impl Exchange<'_> {
    /// Sends the call and waits until the server accepts it.
    ///
    /// # Errors
    ///
    /// The failure of the attempt.
    pub(crate) async fn run(self) -> Result<Accepted, Failure> {
        let (connection, response) = self.exchange().await?;
        let head = ServerHead::parse(response.headers());
        self.report_server_state(&head);
        self.check_head(&head, response.status())?;
        Ok(Accepted {
            attempt: self.attempt,
            connection,
            response,
            head,
            resume_tokens: self.resume.tokens,
        })
    }

    /// Sends the request and waits for the answer's head.
    ///
    /// An idempotent request that fails on a reused connection, which the server
    /// may have closed, is sent once more on a new one.
    async fn exchange(&self) -> Result<(Connection, Response<Incoming>), Failure> {
        let address = self.attempt.address.ok_or(Failure::NotSent)?;
        let body = request::body(self.upstream.inbound, &self.resume)?;
        let pool = self.upstream.pool;
        let idle_max = if self.attempt.idempotent {
            IDLE_TIMEOUT
        } else {
            NON_IDEMPOTENT_IDLE_MAX
        };
        let connection = pool.get(address, idle_max).await;
        let connection = connection.ok_or(Failure::NotSent)?;
        let reused = connection.reused;
        match self.send_request(connection, body.clone()).await {
            Err(failure) if reused && self.may_resend(failure) => {
                pool.purge(address);
                let connection = pool.connect(address).await.ok_or(failure)?;
                self.send_request(connection, body).await
            }
            result => result,
        }
    }

    /// Returns whether to resend after a failure on a reused connection.
    ///
    /// Such a failure says nothing about the server.
    fn may_resend(&self, failure: Failure) -> bool {
        self.attempt.idempotent && matches!(failure, Failure::NotSent | Failure::Broken)
    }

    async fn send_request(
        &self,
        mut connection: Connection,
        body: Bytes,
    ) -> Result<(Connection, Response<Incoming>), Failure> {
        let address = self.attempt.address.ok_or(Failure::NotSent)?;
        let resume_tokens = self.resume.tokens;
        let request = request::head(self.upstream.inbound, &self.attempt, address, resume_tokens);
        let request = request.map(|()| Full::new(body));
        if !self.attempt.idempotent && !self.claim_send().await {
            return Err(Failure::NotSent);
        }
        self.upstream.sent.set();
        connection.head_limit.expect_head();
        let response = connection.sender.try_send_request(request);
        let response = self
            .upstream
            .wait_for(&self.attempt, self.head_timeout(), response);
        match response.await? {
            Ok(response) => {
                connection.head_limit.end_head();
                Ok((connection, response))
            }
            // The request was returned, so it never reached the connection.
            Err(error) if error.message().is_some() => Err(Failure::NotSent),
            Err(_) => Err(Failure::Broken),
        }
    }

    /// Returns the longest silence before the answer's head.
    fn head_timeout(&self) -> Duration {
        if self.upstream.inbound.streamed {
            self.attempt.silence_timeouts.first
        } else {
            self.attempt.silence_timeouts.whole
        }
    }

    async fn claim_send(&self) -> bool {
        let dispatch = &self.attempt.dispatch;
        self.upstream
            .control
            .claim_send(dispatch.call, dispatch.attempt)
            .await
    }

    /// Reports the server's load and state to the core.
    fn report_server_state(&self, head: &ServerHead) {
        let server = &self.attempt.dispatch.server;
        let control = self.upstream.control;
        if let Some(load) = head.load {
            control.send_event(Event::Load {
                server: server.clone(),
                load,
            });
        }
        if head.leaving {
            control.send_event(Event::ServerLeaving(server.clone()));
        }
    }

    /// Checks that the answer belongs to this attempt and that the call ran.
    fn check_head(&self, head: &ServerHead, status: StatusCode) -> Result<(), Failure> {
        if !is_final(status) {
            return Err(Failure::Malformed);
        }
        let attempt = self.attempt.dispatch.attempt.to_string();
        if head.attempt.as_deref() != Some(&*attempt) {
            metrics::counter!("briarbank_crossed_answers_total").increment(1);
            return Err(Failure::Malformed);
        }
        match head.not_run {
            Some(NotRun::Leaving) => return Err(Failure::Leaving),
            Some(NotRun::Full) => return Err(Failure::Full),
            None => {}
        }
        if status.is_server_error() {
            return Err(Failure::ServerError);
        }
        Ok(())
    }
}
