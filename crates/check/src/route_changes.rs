//! Differences between the routes of two versions.

use std::collections::{BTreeSet, HashMap, HashSet};

use briarbank_core::flow::RouteKind;
use briarbank_core::ids::RegionName;

use crate::compare::{Changes, Subject};
use crate::view::{ConfigView, RouteView, Selector};

/// Lists the differences of the routes.
///
/// Routes are paired by host and prefix, which is what callers see, and those
/// left over by name.
pub(crate) fn compare_routes(old: &ConfigView, new: &ConfigView, changes: &mut Changes) {
    let pairs = pair_routes(&old.routes, &new.routes);
    let needs_keys = (old.checks_keys, new.checks_keys);
    let mut paired = HashSet::new();
    for (route, after) in old.routes.iter().zip(&pairs) {
        let Some(after) = after else {
            changes.add(
                Subject::Route,
                &route.name,
                describe_removal(route, new),
                true,
            );
            continue;
        };
        paired.insert(*after);
        let after = &new.routes[*after];
        compare_selectors(route, after, changes);
        for difference in differences(route, after, needs_keys) {
            changes.add(
                Subject::Route,
                &after.name,
                difference.text,
                difference.cuts_off,
            );
        }
        changes.add_properties(
            Subject::Route,
            &after.name,
            &route.properties,
            &after.properties,
        );
    }
    let added = new.routes.iter().enumerate();
    for (_, route) in added.filter(|(index, _)| !paired.contains(index)) {
        add_new_route(route, old, needs_keys, changes);
    }
}

/// Returns the index of the new route for each old one.
fn pair_routes(old: &[RouteView], new: &[RouteView]) -> Vec<Option<usize>> {
    let mut by_selector: HashMap<&Selector, usize> = HashMap::new();
    let mut by_name: HashMap<&str, usize> = HashMap::new();
    for (index, route) in new.iter().enumerate() {
        by_selector.extend(route.selector.as_ref().map(|s| (s, index)));
        by_name.insert(&route.name, index);
    }
    let mut taken = HashSet::new();
    let of_selector = |route: &RouteView| by_selector.get(route.selector.as_ref()?).copied();
    let mut pairs: Vec<_> = old
        .iter()
        .map(|route| of_selector(route).filter(|index| taken.insert(*index)))
        .collect();
    for (route, pair) in old.iter().zip(&mut pairs) {
        if pair.is_none() {
            let same_name = by_name.get(route.name.as_str()).copied();
            *pair = same_name.filter(|index| taken.insert(*index));
        }
    }
    pairs
}

fn describe_removal(route: &RouteView, new: &ConfigView) -> String {
    match &route.selector {
        None => String::from("removed"),
        Some(selector) => match longest_cover(selector, &new.routes) {
            Some(cover) => format!("{selector} removed, its calls go to route {}", cover.name),
            None => format!("{selector} removed"),
        },
    }
}

/// Returns the route that calls of a selector match if they match no longer prefix.
fn longest_cover<'a>(selector: &Selector, routes: &'a [RouteView]) -> Option<&'a RouteView> {
    let covers = |route: &&RouteView| route.selector.as_ref().is_some_and(|s| s.covers(selector));
    let length = |route: &&RouteView| route.selector.as_ref().map(|s| s.prefix.len());
    routes.iter().filter(covers).max_by_key(length)
}

fn add_new_route(
    route: &RouteView,
    old: &ConfigView,
    needs_keys: (bool, bool),
    changes: &mut Changes,
) {
    let Some(selector) = &route.selector else {
        changes.add(Subject::Route, &route.name, "added", false);
        return;
    };
    let Some(cover) = longest_cover(selector, &old.routes) else {
        changes.add(
            Subject::Route,
            &route.name,
            format!("{selector} added"),
            false,
        );
        return;
    };
    let differences = differences(cover, route, needs_keys);
    let cuts_off = differences.iter().any(|d| d.cuts_off);
    let texts: Vec<_> = differences.into_iter().map(|d| d.text).collect();
    let mut change = format!("{selector} added, takes calls from route {}", cover.name);
    if !texts.is_empty() {
        change = format!("{change} with {}", texts.join(", "));
    }
    changes.add(Subject::Route, &route.name, change, cuts_off);
}

fn compare_selectors(old: &RouteView, new: &RouteView, changes: &mut Changes) {
    if old.name != new.name {
        let change = format!("renamed from {}", old.name);
        changes.add(Subject::Route, &new.name, change, false);
    }
    let (Some(before), Some(after)) = (&old.selector, &new.selector) else {
        return;
    };
    if before == after {
        return;
    }
    let verb = if after.covers(before) {
        "widened"
    } else if before.covers(after) {
        "narrowed"
    } else {
        "moved"
    };
    let change = format!("{verb} from {before} to {after}");
    changes.add(Subject::Route, &new.name, change, verb != "widened");
}

/// A difference between two routes that serve the same calls.
#[derive(Debug)]
struct Difference {
    text: String,
    cuts_off: bool,
}

impl Difference {
    fn new(text: impl Into<String>, cuts_off: bool) -> Self {
        Self {
            text: text.into(),
            cuts_off,
        }
    }
}

/// Returns the differences of two routes; `needs_keys` tells whether calls need keys.
fn differences(old: &RouteView, new: &RouteView, needs_keys: (bool, bool)) -> Vec<Difference> {
    let mut list = Vec::new();
    if old.timeout_ms != new.timeout_ms {
        let text = format!("time limit {} ms -> {} ms", old.timeout_ms, new.timeout_ms);
        list.push(Difference::new(text, new.timeout_ms < old.timeout_ms));
    }
    list.extend(compare_route_services(old, new));
    let regions = (old.allowed_regions.as_ref(), new.allowed_regions.as_ref());
    if regions.0 != regions.1 {
        let (before, after) = (show_regions(regions.0), show_regions(regions.1));
        let text = format!("regions {before} -> {after}");
        list.push(Difference::new(text, is_narrowed(regions.0, regions.1)));
    }
    if old.is_public && !new.is_public {
        // When no call needed a key before, that change is listed for the configuration.
        let cuts_off = needs_keys == (true, true);
        list.push(Difference::new("not public any more", cuts_off));
    } else if old.is_public != new.is_public {
        list.push(Difference::new("public", false));
    }
    list.extend(compare_aims(old, new));
    list
}

/// Compares the services; calls of a service that is no longer named are sent elsewhere.
fn compare_route_services(old: &RouteView, new: &RouteView) -> Option<Difference> {
    let names = |set: &BTreeSet<&str>| set.iter().copied().collect::<Vec<_>>().join("+");
    let (before, after) = (service_names(old), service_names(new));
    if before != after {
        let is_left = before.difference(&after).next().is_some();
        let text = format!("services {} -> {}", names(&before), names(&after));
        return Some(Difference::new(text, is_left));
    }
    (weights(old) != weights(new)).then(|| Difference::new("other weights of services", false))
}

/// Compares the fields that change how calls are served, but not whether.
fn compare_aims(old: &RouteView, new: &RouteView) -> Vec<Difference> {
    let show = |value: Option<u64>| value.map_or_else(|| String::from("unset"), |v| v.to_string());
    let attempts = |route: &RouteView| route.attempts_max.map(u64::from);
    let numbers = [
        ("objective in ms", Some(old.target_ms), Some(new.target_ms)),
        ("pause in ms", old.gap_ms, new.gap_ms),
        ("attempts", attempts(old), attempts(new)),
    ];
    let numbers = numbers.into_iter().filter(|(_, a, b)| a != b);
    let mut texts: Vec<_> = numbers
        .map(|(name, before, after)| format!("{name} {} -> {}", show(before), show(after)))
        .collect();
    if old.kind != new.kind {
        texts.push(format!("kind {} -> {}", show_kind(old), show_kind(new)));
    }
    if let (Some(before), Some(after)) = (old.share_ratio, new.share_ratio)
        && (before - after).abs() > f64::EPSILON
    {
        texts.push(format!("share {before} -> {after}"));
    }
    let texts = texts.into_iter();
    texts.map(|text| Difference::new(text, false)).collect()
}

fn service_names(route: &RouteView) -> BTreeSet<&str> {
    let splits = route.splits.iter().flatten();
    splits
        .filter(|s| s.weight > 0)
        .map(|s| s.service.as_str())
        .collect()
}

fn weights(route: &RouteView) -> Vec<(&str, u32)> {
    let splits = route.splits.iter().flatten();
    let mut weights: Vec<_> = splits.map(|s| (s.service.as_str(), s.weight)).collect();
    weights.sort_unstable();
    weights
}

fn show_kind(route: &RouteView) -> &'static str {
    match &route.kind {
        Ok(RouteKind::Idempotent) => "repeatable",
        Ok(RouteKind::AtMostOnce) => "runs once",
        Ok(RouteKind::Stream { resumable: true }) => "resumable stream",
        Ok(RouteKind::Stream { resumable: false }) => "stream",
        Err(_) => "unknown",
    }
}

/// Returns the regions of a list, or "all" without one.
pub(crate) fn show_regions(regions: Option<&Vec<RegionName>>) -> String {
    let Some(regions) = regions else {
        return String::from("all");
    };
    let names: Vec<_> = regions.iter().map(RegionName::as_str).collect();
    if names.is_empty() {
        return String::from("none");
    }
    names.join("+")
}

/// Returns whether a region is no longer allowed.
pub(crate) fn is_narrowed(old: Option<&Vec<RegionName>>, new: Option<&Vec<RegionName>>) -> bool {
    match (old, new) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(old), Some(new)) => old.iter().any(|region| !new.contains(region)),
    }
}
