//! Polls a worker: reads its lists and renews its lease.

use std::time::Duration;

use tokio::sync::Notify;

use super::leader::Leader;
use super::ports::{PollError, PollRequest};
use crate::prelude::*;
use crate::scheduler::PollPlan;
use crate::telemetry::Activity;

/// Pause after a poll without a response.
const SILENT_PAUSE: Duration = Duration::from_millis(250);

/// Polls a worker until the scheduler forgets it or the term ends.
pub(super) async fn poll_worker(leader: Arc<Leader>, id: WorkerId, wake: Arc<Notify>) {
    loop {
        if leader.term_ended.is_cancelled() {
            return;
        }
        let plan = {
            let now = leader.shared.clock.now();
            leader.sched.lock().poll_plan(&id, now)
        };
        let (incarnation, request) = match plan {
            PollPlan::Forget => break,
            PollPlan::Pause(pause) => {
                tokio::select! {
                    () = tokio::time::sleep(pause.into()) => {}
                    () = wake.notified(), if pause > Millis(100) => {}
                    () = leader.term_ended.cancelled() => return,
                }
                continue;
            }
            PollPlan::Call {
                address,
                incarnation,
                fence,
                last_acknowledged,
                deadline,
                wait,
            } => (
                incarnation,
                PollRequest {
                    address,
                    fence,
                    last_acknowledged,
                    deadline,
                    wait,
                },
            ),
        };
        let sent_at = leader.shared.clock.now();
        let report = tokio::select! {
            biased;
            () = leader.term_ended.cancelled() => return,
            report = leader.shared.workers.poll(&id, &request) => report,
        };
        match report {
            Ok(report) => {
                let wall = leader.shared.clock.wall();
                {
                    let _guard = Activity::Report.enter();
                    leader.update(|sched, now| sched.on_report(&id, sent_at, now, wall, &report));
                }
                let pause = leader.sched.lock().unacknowledged_pause(&id);
                if let Some(pause) = pause {
                    tokio::select! {
                        () = tokio::time::sleep(pause.into()) => {}
                        () = wake.notified() => {}
                        () = leader.term_ended.cancelled() => return,
                    }
                }
            }
            Err(PollError::OtherIncarnation) => {
                leader.update(|sched, now| sched.mark_worker_dead(&id, incarnation, now))
            }
            Err(PollError::Failed(err)) => {
                let reason = err.to_string();
                leader.update(|sched, _| sched.on_poll_failure(&id, incarnation, &reason));
                tokio::time::sleep(SILENT_PAUSE).await;
            }
        }
    }
    leader.polls.lock().remove(&id);
}
