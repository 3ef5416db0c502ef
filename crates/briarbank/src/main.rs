//! The briarbank binary.

mod flags;

use std::io::Write;
use std::process::ExitCode;

use briarbank::{Error, GatewayOptions};

use crate::flags::{Briarbank, BriarbankCmd, LoadCmd, StandinCmd};

fn main() -> ExitCode {
    let flags = match Briarbank::from_env() {
        Ok(flags) => flags,
        Err(error) => return print_usage(&error),
    };
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if error.is_closed_output() => ExitCode::SUCCESS,
        Err(error) => {
            print_line(std::io::stderr(), &format!("briarbank: {error}"));
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(flags: Briarbank) -> Result<(), Error> {
    if flags.version {
        print_line(
            std::io::stdout(),
            concat!("briarbank ", env!("CARGO_PKG_VERSION")),
        );
        return Ok(());
    }
    let log = flags.log.as_deref().unwrap_or(match flags.subcommand {
        BriarbankCmd::Gateway(_) | BriarbankCmd::Node(_) | BriarbankCmd::Standin(_) => "info",
        _ => "warn",
    });
    if let BriarbankCmd::Gateway(gateway) = &flags.subcommand {
        let options = GatewayOptions {
            operator_port: gateway.operator_port,
            hedge_ratio: gateway.hedge_ratio.unwrap_or_default(),
        };
        return briarbank::gateway(&options, log, flags.log_json);
    }
    briarbank::init_logs(log, flags.log_json)?;
    match flags.subcommand {
        BriarbankCmd::Usage(_) | BriarbankCmd::Gateway(_) => Err(Error::NoCommand),
        BriarbankCmd::Node(node) => briarbank::node(&node.settings),
        BriarbankCmd::Check(check) => briarbank::check(&check.into(), &mut std::io::stdout()),
        BriarbankCmd::Dump(dump) => {
            let mut out = std::io::stdout();
            briarbank::dump(&dump.operator(), dump.process(), dump.json, &mut out)
        }
        BriarbankCmd::Explain(explain) => {
            briarbank::explain(&explain.id, &explain.logs, &mut std::io::stdout())
        }
        BriarbankCmd::Drain(drain) => briarbank::drain(&drain.operator(), &mut std::io::stdout()),
        BriarbankCmd::Demo(_) => briarbank::demo(&mut std::io::stdout()),
        BriarbankCmd::Load(load) => match load.subcommand {
            LoadCmd::Run(run) => {
                let (mut out, mut progress) = (std::io::stdout(), std::io::stderr());
                briarbank::load(&run.plan, run.json, &mut out, &mut progress)
            }
            LoadCmd::Compare(files) => {
                briarbank::compare(&files.before, &files.after, &mut std::io::stdout())
            }
        },
        BriarbankCmd::Standin(standin) => match standin.subcommand {
            StandinCmd::Platform(platform) => {
                briarbank::platform(&platform.settings, &platform.documents())
            }
            StandinCmd::Engine(engine) => briarbank::engine(&engine.settings),
            StandinCmd::Service(service) => briarbank::service(&service.settings),
        },
    }
}

fn print_usage(error: &xflags::Error) -> ExitCode {
    if error.is_help() {
        print_line(std::io::stdout(), &error.to_string());
        return ExitCode::SUCCESS;
    }
    print_line(
        std::io::stderr(),
        &format!("briarbank: {error}; see `briarbank --help`"),
    );
    ExitCode::from(briarbank::EXIT_USAGE)
}

/// Prints a line and ignores write errors, such as a closed pipe.
fn print_line(mut out: impl Write, line: &str) {
    let _ = writeln!(out, "{line}");
}
