//! How busy a leader is, and with what; regulates its polls.

use std::time::Duration;

use super::leader::Leader;
use crate::prelude::*;
use crate::telemetry::Activity;

/// Time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two measurements of the delay of the event loop.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Logs once a second the processor time of each activity and the longest delay of the event loop.
pub(super) async fn log_leader_load(leader: Arc<Leader>) {
    let mut before = Activity::ALL.map(Activity::total);
    let mut counts_before = leader.sched.lock().plan_counts();
    loop {
        let longest_delay = measure_loop_delay(&leader).await;
        let total = Activity::ALL.map(Activity::total);
        let busy = busy_text(&before, &total);
        before = total;
        let ((jobs, _, runs), counts, poll_gap) = {
            let sched = leader.sched.lock();
            (sched.summary(), sched.plan_counts(), sched.poll_gap())
        };
        let rounds = counts.rounds - counts_before.rounds;
        let searches = counts.searches - counts_before.searches;
        counts_before = counts;
        leader.shared.metrics.plan_rounds.inc_by(rounds);
        leader.shared.metrics.searches.inc_by(searches);
        tracing::info!(
            jobs,
            runs,
            rounds,
            searches,
            poll_gap_ms = poll_gap.0,
            loop_delay_ms = Millis::from(longest_delay).0,
            busy_ms = busy,
            "leader load"
        );
    }
}

/// Measures for one log interval how late timers fire, by which the polls are regulated; returns the
/// longest delay.
async fn measure_loop_delay(leader: &Leader) -> Duration {
    let mut longest = Duration::ZERO;
    for _ in 0..LOG_INTERVAL.as_millis() / PROBE_INTERVAL.as_millis() {
        let due = tokio::time::Instant::now() + PROBE_INTERVAL;
        tokio::time::sleep_until(due).await;
        let delay = due.elapsed();
        let histogram = &leader.shared.metrics.loop_delay_seconds;
        histogram.observe(delay.as_secs_f64());
        leader.sched.lock().record_timer_delay(delay.into());
        longest = longest.max(delay);
    }
    longest
}

/// Returns the time spent between two measurements: name and milliseconds of each activity.
pub(super) fn busy_text(before: &[Duration], now: &[Duration]) -> String {
    let spent = before.iter().zip(now).zip(Activity::ALL);
    let parts = spent.map(|((before, now), activity)| {
        let millis = now.saturating_sub(*before).as_millis();
        format!("{}={millis}", activity.name())
    });
    parts.collect::<Vec<_>>().join(" ")
}
