//! Limits that contradict each other.

use briarbank_config::FieldPath;

use crate::finding::Findings;
use crate::view::{ConfigView, RouteView};

/// Tolerance for rounding errors in a sum of shares.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Checks the times, attempts and shares of routes and the bounds on calls.
pub(crate) fn check_limits(view: &ConfigView, findings: &mut Findings) {
    for (index, route) in view.routes.iter().enumerate() {
        check_times(view, &view.route_path(index), route, findings);
        if route.attempts_max == Some(0) {
            let path = view.route_path(index).field(view.names.attempts);
            findings.warning(path, "0", "1 or more; nodes take 0 as 1");
        }
    }
    let sum: f64 = view.routes.iter().filter_map(|r| r.share_ratio).sum();
    if sum > 1.0 + SHARE_TOLERANCE {
        let path = FieldPath::default().field(view.names.routes);
        let found = format!("shares with the sum {sum}");
        findings.error(path, found, "shares with a sum of at most 1");
    }
    for limit in view.limits.iter().filter(|l| l.value == 0) {
        let path = FieldPath::default()
            .field(view.names.limits)
            .field(limit.field);
        findings.error(path, "0", "above 0; calls are refused or cut off otherwise");
    }
}

fn check_times(view: &ConfigView, path: &FieldPath, route: &RouteView, findings: &mut Findings) {
    let (names, timeout_ms) = (&view.names, route.timeout_ms);
    if timeout_ms == 0 {
        let allowed = "1 or more; every call is cut off otherwise";
        findings.error(
            path.field(names.timeout),
            "a time limit that nodes take as 0 ms",
            allowed,
        );
        return;
    }
    if route.target_ms == 0 {
        let allowed = "1 or more; no server can meet it otherwise";
        findings.error(
            path.field(names.target),
            "an objective that nodes take as 0 ms",
            allowed,
        );
    }
    let objectives = [
        (names.target, "an objective", Some(route.target_ms)),
        (names.gap, "a pause", route.gap_ms),
    ];
    for (field, what, value_ms) in objectives {
        let Some(value_ms) = value_ms.filter(|ms| *ms > timeout_ms) else {
            continue;
        };
        let found = format!("{what} of {value_ms} ms");
        let allowed = format!("at most {timeout_ms} ms, the value of {}", names.timeout);
        findings.error(path.field(field), found, allowed);
    }
}
