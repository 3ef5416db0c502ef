//! Open loop: starts calls on arrival, whether or not earlier calls ended.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, Interval, MissedTickBehavior};

use super::arrivals::{Arrival, Arrivals};
use super::audit::Audit;
use super::caller::Caller;
use super::class_stats::ClassStats;
use super::error::LoadError;
use super::outcome::CallRecord;
use super::plan::LoadPlan;
use super::progress::Progress;
use super::result::LoadResult;
use crate::http::Client;

/// Time between progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a load to its end and reports progress every second.
///
/// # Errors
///
/// Returns a [`LoadError`] if the plan is not valid or reading counters fails.
/// Failed calls are counted in the result.
pub async fn run_load(
    plan: LoadPlan,
    progress: impl FnMut(Progress) + Send,
) -> Result<LoadResult, LoadError> {
    plan.check()?;
    let client = Arc::new(Client::default());
    let audit = Audit::start(&client, &plan).await?;
    let classes = plan.classes.iter().map(ClassStats::new);
    let mut run = LoadRun {
        classes: classes.collect::<Result<_, _>>()?,
        plan: Arc::new(plan),
        client,
        audit,
        calls: JoinSet::new(),
        started: Instant::now(),
        progress: Progress::default(),
        on_progress: progress,
    };
    run.start_calls().await;
    run.drain().await;
    run.finish().await
}

struct LoadRun<F> {
    plan: Arc<LoadPlan>,
    client: Arc<Client>,
    classes: Vec<ClassStats>,
    audit: Audit,
    calls: JoinSet<CallRecord>,
    started: Instant,
    progress: Progress,
    on_progress: F,
}

impl<F: FnMut(Progress) + Send> LoadRun<F> {
    async fn start_calls(&mut self) {
        let mut progress_interval = progress_interval();
        let plan = Arc::clone(&self.plan);
        for arrival in Arrivals::new(&plan) {
            let due = self.started + arrival.intended_start;
            loop {
                tokio::select! {
                    biased;
                    () = tokio::time::sleep_until(due) => break,
                    Some(ended) = self.calls.join_next() => self.record_end(ended.ok()),
                    _ = progress_interval.tick() => self.report_progress(),
                }
            }
            self.start_call(arrival, due);
        }
    }

    fn start_call(&mut self, arrival: Arrival, intended: Instant) {
        let stats = &mut self.classes[arrival.class];
        stats.record_arrival();
        self.progress.offered += 1;
        if self.calls.len() >= self.plan.in_flight_limit {
            stats.record_overrun();
            return;
        }
        let (client, plan) = (Arc::clone(&self.client), Arc::clone(&self.plan));
        self.calls.spawn(async move {
            let caller = Caller::new(&client, &plan, arrival, intended);
            caller.run(arrival.number as usize).await
        });
    }

    async fn drain(&mut self) {
        let mut progress_interval = progress_interval();
        while !self.calls.is_empty() {
            tokio::select! {
                Some(ended) = self.calls.join_next() => self.record_end(ended.ok()),
                _ = progress_interval.tick() => self.report_progress(),
            }
        }
        self.report_progress();
    }

    /// Counts the end of a call; a call whose task panicked has no record.
    fn record_end(&mut self, record: Option<CallRecord>) {
        self.progress.ended += 1;
        let Some(record) = record else {
            tracing::error!("load: task of a call panicked");
            return;
        };
        let class = &self.plan.classes[record.class];
        let attained = self.classes[record.class].record_end(class, &record);
        self.progress.attained += u64::from(attained);
        self.audit.record_call(class.kind, &record, attained);
    }

    fn report_progress(&mut self) {
        self.progress.elapsed = self.started.elapsed();
        self.progress.in_flight = self.calls.len();
        (self.on_progress)(self.progress);
    }

    async fn finish(self) -> Result<LoadResult, LoadError> {
        let duration = self.plan.duration();
        let classes = self.classes.into_iter().map(|c| c.finish(duration));
        let result = LoadResult {
            seed: self.plan.seed,
            duration_ms: self.plan.duration_ms,
            classes: classes.collect(),
            audit: self.audit.finish(&self.client).await?,
        };
        if let Some(client) = Arc::into_inner(self.client) {
            client.close().await;
        }
        Ok(result)
    }
}

fn progress_interval() -> Interval {
    let mut progress_interval = tokio::time::interval(PROGRESS_INTERVAL);
    progress_interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    progress_interval
}
