//! Calls that the demo makes and prints.

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::hosts::HostView;
use briarbank_core::ids::{RequestId, Revision};
use briarbank_core::owner::{SlotMap, slot_of};
use briarbank_standin::Client;
use bytes::Bytes;
use http::Method;
use serde_json::Value;
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use super::call::{CallResult, chat, slip};
use super::error::DemoError;
use super::fleet::Fleet;
use crate::Error;
use crate::operator::OperatorPort;
use crate::table::write_rows;

const SLIP_TIMEOUT: Duration = Duration::from_mins(1);
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Makes the calls and prints their results.
pub(super) async fn run(fleet: &mut Fleet, out: &mut dyn Write) -> Result<(), Error> {
    writeln!(
        out,
        "A platform, a model engine, a plain service and two nodes on loopback:"
    )?;
    for node in &fleet.nodes {
        writeln!(out, "  {} takes calls at {}", node.host, node.caller)?;
    }
    fleet.wait_ready().await?;
    let client = Client::default();
    let result = show_calls(fleet, &client, out).await;
    client.close().await;
    result
}

async fn show_calls(fleet: &Fleet, client: &Client, out: &mut dyn Write) -> Result<(), Error> {
    let [first, second] = &fleet.nodes[..] else {
        return Err(DemoError::NodeEnded.into());
    };
    writeln!(out, "\nA streamed completion through {}:", first.host)?;
    let completion = require_completed(chat(client, first, out).await?)?;
    writeln!(
        out,
        "\nA booking slip through {}, while {} owns its id:",
        second.host, first.host
    )?;
    writeln!(
        out,
        "(a fleet that has just started takes slips after some seconds)"
    )?;
    let (id, booked) = book_slip(fleet, client).await?;
    writeln!(out, "{}", String::from_utf8_lossy(&booked.body))?;
    writeln!(out, "\nThe same id again through {}:", first.host)?;
    let repeated = require_completed(slip(client, first, &id, 2).await?)?;
    writeln!(out, "{}", String::from_utf8_lossy(&repeated.body))?;
    let runs = count_runs(fleet, &id).await?;
    if runs != 1 || booked.body != repeated.body {
        return Err(DemoError::UnexpectedRuns(runs).into());
    }
    writeln!(out, "\nThe service ran the slip once.\n")?;
    write!(out, "{}", summary(&[completion, booked, repeated]))?;
    Ok(())
}

/// Sends a slip through the second node under an id that the first one owns.
///
/// A fleet that has just started refuses ids that are older than its records.
/// A refused id did not run, so the caller retries with a new one.
async fn book_slip(fleet: &Fleet, client: &Client) -> Result<(String, CallResult), Error> {
    let deadline = Instant::now() + SLIP_TIMEOUT;
    loop {
        let id = id_owned_by_first(fleet);
        let result = slip(client, &fleet.nodes[1], &id, 1).await?;
        if result.is_completed() {
            return Ok((id, result));
        }
        if !result.is_not_run() || Instant::now() > deadline {
            return Err(DemoError::UnexpectedAnswer(Arc::from(describe_failure(&result))).into());
        }
        sleep(result.retry_after.unwrap_or(DEFAULT_RETRY_DELAY)).await;
    }
}

/// Returns a new id that the first node owns by the published host list.
fn id_owned_by_first(fleet: &Fleet) -> String {
    let view = HostView::new(Revision(1), fleet.hosts.hosts.clone());
    let slots = SlotMap::new(Arc::new(view));
    loop {
        let id = Uuid::now_v7().to_string();
        let owner = slots.owner(slot_of(&RequestId::new(&id)));
        if owner == Some(&fleet.nodes[0].host) {
            return id;
        }
    }
}

fn require_completed(result: CallResult) -> Result<CallResult, Error> {
    if result.is_completed() {
        return Ok(result);
    }
    Err(DemoError::UnexpectedAnswer(Arc::from(describe_failure(&result))).into())
}

fn describe_failure(result: &CallResult) -> String {
    let body = String::from_utf8_lossy(&result.body);
    format!(
        "{} through {}: {} {body}",
        result.request, result.host, result.status
    )
}

/// Returns how often the service ran the request.
async fn count_runs(fleet: &Fleet, id: &str) -> Result<u64, Error> {
    let service = OperatorPort {
        address: fleet.service,
        settings: None,
    };
    let body = service
        .call(Method::GET, "/control/runs", Bytes::new())
        .await?;
    let runs: Value =
        serde_json::from_slice(&body).map_err(|e| Error::InvalidJson(fleet.service, e))?;
    Ok(runs["runs"][id].as_u64().unwrap_or_default())
}

fn summary(calls: &[CallResult]) -> String {
    let header = [
        "request", "node", "profile", "status", "outcome", "tokens", "first_ms", "whole_ms",
    ];
    let header = header.map(String::from).to_vec();
    let rows = calls.iter().map(|result| {
        vec![
            String::from(result.request),
            result.host.clone(),
            String::from(result.profile),
            result.status.as_u16().to_string(),
            result.outcome.clone(),
            result.tokens.to_string(),
            format!("{:.1}", result.first.as_secs_f64() * 1e3),
            format!("{:.1}", result.whole.as_secs_f64() * 1e3),
        ]
    });
    let rows: Vec<_> = std::iter::once(header).chain(rows).collect();
    let mut text = String::new();
    write_rows(&rows, &mut text);
    text
}
