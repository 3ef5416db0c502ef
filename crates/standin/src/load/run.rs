//! The open loop.

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

/// Time between reports of the progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a load to its end, and reports the progress each second.
///
/// # Errors
///
/// A [`LoadError`] for a plan outside its bounds or counters that can't be
/// read. Failed calls are part of the result.
pub async fn run_load(
    plan: LoadPlan,
    progress: impl FnMut(Progress) + Send,
) -> Result<LoadResult, LoadError> {
    plan.check()?;
    let client = Arc::new(Client::default());
    let audit = Audit::begin(&client, &plan).await?;
    let classes = plan.classes.iter().map(ClassStats::new);
    let mut run = Run {
        classes: classes.collect::<Result<_, _>>()?,
        plan: Arc::new(plan),
        client,
        audit,
        calls: JoinSet::new(),
        begin: Instant::now(),
        progress: Progress::default(),
        report: progress,
    };
    run.arrive().await;
    run.drain().await;
    run.finish().await
}

struct Run<F> {
    plan: Arc<LoadPlan>,
    client: Arc<Client>,
    classes: Vec<ClassStats>,
    audit: Audit,
    calls: JoinSet<CallRecord>,
    begin: Instant,
    progress: Progress,
    report: F,
}

impl<F: FnMut(Progress) + Send> Run<F> {
    async fn arrive(&mut self) {
        let mut ticks = ticks();
        let plan = Arc::clone(&self.plan);
        for arrival in Arrivals::new(&plan) {
            let due = self.begin + arrival.intended_start;
            loop {
                tokio::select! {
                    biased;
                    () = tokio::time::sleep_until(due) => break,
                    Some(ended) = self.calls.join_next() => self.end(ended.ok()),
                    _ = ticks.tick() => self.tell(),
                }
            }
            self.start(arrival, due);
        }
    }

    fn start(&mut self, arrival: Arrival, intended: Instant) {
        let stats = &mut self.classes[arrival.class];
        stats.offer();
        self.progress.offered += 1;
        if self.calls.len() >= self.plan.in_flight_limit {
            stats.overrun();
            return;
        }
        let (client, plan) = (Arc::clone(&self.client), Arc::clone(&self.plan));
        self.calls.spawn(async move {
            let caller = Caller::new(&client, &plan, arrival, intended);
            caller.run(arrival.number as usize).await
        });
    }

    async fn drain(&mut self) {
        let mut ticks = ticks();
        while !self.calls.is_empty() {
            tokio::select! {
                Some(ended) = self.calls.join_next() => self.end(ended.ok()),
                _ = ticks.tick() => self.tell(),
            }
        }
        self.tell();
    }

    /// Counts an ended call; a call that panicked has no record.
    fn end(&mut self, record: Option<CallRecord>) {
        self.progress.ended += 1;
        let Some(record) = record else {
            tracing::error!("load: call ended abnormally");
            return;
        };
        let class = &self.plan.classes[record.class];
        let attained = self.classes[record.class].end(class, &record);
        self.progress.attained += u64::from(attained);
        self.audit.note(class.kind, &record, attained);
    }

    fn tell(&mut self) {
        self.progress.elapsed = self.begin.elapsed();
        self.progress.in_flight = self.calls.len();
        (self.report)(self.progress);
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

fn ticks() -> Interval {
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    ticks
}
