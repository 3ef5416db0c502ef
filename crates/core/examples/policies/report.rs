//! Results of one or more runs.

use std::fmt;

use crate::workload::{BURST, CLASSES, DURATION_MS, WORKSPACE_COUNT};

/// Sums over runs, printed as a row under [`Report::HEADER`].
#[derive(Default)]
pub(crate) struct Report {
    runs: u64,
    arrived: [u64; CLASSES.len()],
    in_time: [u64; CLASSES.len()],
    workspace_arrived: [u64; WORKSPACE_COUNT],
    workspace_in_time: [u64; WORKSPACE_COUNT],
    generated: u64,
    late: u64,
    useful: u64,
    useful_in_burst: u64,
    longest_wait_us: u64,
    least_share: Option<f64>,
}

/// Outcome of one call.
pub(crate) struct CallEnd {
    pub(crate) class: usize,
    pub(crate) workspace: usize,
    pub(crate) tokens: u32,
    pub(crate) completed: bool,
    pub(crate) in_time: bool,
    /// Whether it ended during the time of bursts.
    pub(crate) in_burst: bool,
}

impl Report {
    pub(crate) const HEADER: &str = "\
| scenario | policy | lists % | answers % | drafts % | goodput tokens/s | same from 30 to 90 s | wasted % | \
of that late % | Jain | longest wait of drafts s | least share of drafts over 10 s % |
|---|---|---|---|---|---|---|---|---|---|---|---|";

    pub(crate) fn record_run(&mut self, generated: u64, least_share: Option<f64>) {
        self.runs += 1;
        self.generated += generated;
        if let Some(share) = least_share {
            let least = self.least_share.unwrap_or(1.0);
            self.least_share = Some(least.min(share));
        }
    }

    pub(crate) fn record_call(&mut self, end: &CallEnd) {
        self.arrived[end.class] += 1;
        self.workspace_arrived[end.workspace] += 1;
        if end.in_time {
            self.in_time[end.class] += 1;
            self.workspace_in_time[end.workspace] += 1;
            self.useful += u64::from(end.tokens);
            if end.in_burst {
                self.useful_in_burst += u64::from(end.tokens);
            }
        } else if end.completed {
            self.late += u64::from(end.tokens);
        }
    }

    pub(crate) fn record_wait(&mut self, wait_us: u64) {
        self.longest_wait_us = self.longest_wait_us.max(wait_us);
    }

    /// Returns Jain's fairness index of the in-time ratios of all workspaces.
    fn fairness_index(&self) -> f64 {
        let arrived = self.workspace_arrived.iter();
        let ratios: Vec<f64> = arrived
            .zip(&self.workspace_in_time)
            .map(|(arrived, in_time)| *in_time as f64 / (*arrived).max(1) as f64)
            .collect();
        let sum: f64 = ratios.iter().sum();
        let squares: f64 = ratios.iter().map(|r| r * r).sum();
        sum * sum / (ratios.len() as f64 * squares).max(f64::MIN_POSITIVE)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (in_time, arrived) in self.in_time.iter().zip(&self.arrived) {
            write!(f, "{:.2} | ", percent(*in_time, *arrived))?;
        }
        let seconds = (self.runs * DURATION_MS) as f64 / 1e3;
        let goodput = self.useful as f64 / seconds;
        let burst_s = (self.runs * (BURST.1 - BURST.0)) as f64 / 1e3;
        let in_burst = self.useful_in_burst as f64 / burst_s;
        let wasted = percent(self.generated.saturating_sub(self.useful), self.generated);
        let late = percent(self.late, self.generated);
        let longest_s = self.longest_wait_us as f64 / 1e6;
        write!(
            f,
            "{goodput:.0} | {in_burst:.0} | {wasted:.2} | {late:.2} | "
        )?;
        write!(f, "{:.3} | {longest_s:.1} | ", self.fairness_index())?;
        match self.least_share {
            Some(share) => write!(f, "{:.1}", share * 100.0),
            None => write!(f, "-"),
        }
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
