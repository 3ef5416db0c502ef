//! Checks of a configuration in both forms, and its comparison with the one in force.

use std::path::Path;

use briarbank_check::{
    ConfigView, Finding, ServerView, Surroundings, add_lines, check_config, check_version, compare,
    view_of_product,
};
use briarbank_config::{ConfigDocument, SIZE_LIMIT_BYTES, parse_config, read};
use briarbank_core::ids::Revision;
use briarbank_gateway::Settings;

use crate::check::FilesToCheck;
use crate::check_report::Report;

/// Largest file in the platform's form that is read; one of 4,248 routes has 0.85 MB.
const PLATFORM_FILE_MAX_BYTES: usize = 64 << 20;

/// A view and the text that it was read from, for the lines of findings.
#[derive(Debug)]
pub(crate) struct LoadedView {
    view: ConfigView,
    text: String,
}

/// Reads a configuration of the product's form; adds its faults to the report.
pub(crate) fn load_product_view(
    path: &Path,
    report: &mut Report,
) -> Option<(ConfigDocument, LoadedView)> {
    let bytes = read_reported(path, SIZE_LIMIT_BYTES, report)?;
    match parse_config(Revision::default(), &bytes) {
        Ok(catalog) => {
            let loaded = LoadedView {
                view: view_of_product(&catalog),
                text: String::from_utf8_lossy(&bytes).into_owned(),
            };
            Some((ConfigDocument { catalog }, loaded))
        }
        Err(error) => {
            report.add_file(path, briarbank_check::findings_of(&error));
            None
        }
    }
}

/// Checks a configuration of the platform's form.
pub(crate) fn check_platform_config(
    path: &Path,
    selection: &FilesToCheck,
    gateways: &[Settings],
    report: &mut Report,
) {
    let servers = selection.platform_servers.as_deref();
    let servers = servers.and_then(|path| load_platform_servers(path, report));
    let new = load_platform_view(path, report);
    let against = selection.against.as_deref();
    let old = against.and_then(|path| load_platform_view(path, report));
    let Some(new) = new else {
        return;
    };
    let base = Surroundings {
        servers,
        hedge_ratio: selection.hedge_ratio,
        ..Surroundings::default()
    };
    let with_settings = |settings: &Settings| Surroundings {
        zone_regions: Some(settings.zone_regions.clone()),
        retry_ratio: Some(settings.retries.ratio),
        stop_timeout: Some(settings.stop_timeout),
        ..base.clone()
    };
    let mut surroundings: Vec<_> = gateways.iter().map(with_settings).collect();
    if surroundings.is_empty() {
        surroundings.push(base);
    }
    check_config_views(path, &new, old.as_ref(), &surroundings, report);
}

/// Checks a configuration against all surroundings, and compares it with the one in force.
pub(crate) fn check_config_views(
    path: &Path,
    new: &LoadedView,
    old: Option<&LoadedView>,
    surroundings: &[Surroundings],
    report: &mut Report,
) {
    let mut findings: Vec<Finding> = Vec::new();
    for surroundings in surroundings {
        for finding in check_config(&new.view, surroundings) {
            if !findings.contains(&finding) {
                findings.push(finding);
            }
        }
    }
    if let Some(old) = old {
        let changes = compare(&old.view, &new.view);
        findings.extend(check_version(&old.view, &new.view, &changes));
        report.set_changes(path, changes);
    }
    add_lines(&new.text, &mut findings);
    report.add_file(path, findings);
}

fn load_platform_view(path: &Path, report: &mut Report) -> Option<LoadedView> {
    let bytes = read_reported(path, PLATFORM_FILE_MAX_BYTES, report)?;
    match briarbank_platform::view_of_config(&bytes) {
        Ok(view) => Some(LoadedView {
            view,
            text: String::from_utf8_lossy(&bytes).into_owned(),
        }),
        Err(findings) => {
            report.add_file(path, findings);
            None
        }
    }
}

fn load_platform_servers(path: &Path, report: &mut Report) -> Option<Vec<ServerView>> {
    let bytes = read_reported(path, PLATFORM_FILE_MAX_BYTES, report)?;
    match briarbank_platform::view_of_servers(&bytes) {
        Ok(servers) => {
            report.add_file(path, Vec::new());
            Some(servers)
        }
        Err(findings) => {
            report.add_file(path, findings);
            None
        }
    }
}

fn read_reported(path: &Path, limit_bytes: usize, report: &mut Report) -> Option<Vec<u8>> {
    match read(path, limit_bytes) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            report.add_file_error(path, &error);
            None
        }
    }
}
