//! Statuses that end an exchange.

use http::StatusCode;

/// Returns whether a status is that of a final answer to a call without an upgrade.
///
/// Others are informational, or no statuses: RFC 9110, section 15.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
