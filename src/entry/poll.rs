//! Hears from one worker as long as the leader knows it.

use std::time::Duration;

use tokio::sync::Notify;

use super::leader::Leader;
use super::ports::{PollError, PollRequest};
use crate::prelude::*;
use crate::scheduler::PollPlan;

/// Pause after a worker did not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(250);

/// Reads the worker's lists until it is forgotten or the leader is lost.
pub(super) async fn poll_worker(leader: Arc<Leader>, id: WorkerId, wake: Arc<Notify>) {
    loop {
        let plan = {
            let now = leader.shared.clock.now();
            leader.sched.lock().poll_plan(&id, now)
        };
        let call = match plan {
            PollPlan::Forget => break,
            PollPlan::Pause(pause) => {
                tokio::select! {
                    () = tokio::time::sleep(pause.into()) => {}
                    () = wake.notified(), if pause > Millis(100) => {}
                    () = leader.lost.cancelled() => return,
                }
                continue;
            }
            PollPlan::Call {
                address,
                fence,
                last_acknowledged,
                deadline,
                wait,
            } => PollRequest {
                address,
                fence,
                last_acknowledged,
                deadline,
                wait,
            },
        };
        let asked = leader.shared.clock.now();
        let report = tokio::select! {
            report = leader.shared.workers.poll(&id, &call) => report,
            () = leader.lost.cancelled() => return,
        };
        match report {
            Ok(report) => {
                let wall = leader.shared.clock.wall();
                leader.change(|sched, now| sched.on_report(&id, asked, now, wall, &report));
                let pause = leader.sched.lock().unacknowledged_pause(&id);
                if let Some(pause) = pause {
                    tokio::select! {
                        () = tokio::time::sleep(pause.into()) => {}
                        () = wake.notified() => {}
                        () = leader.lost.cancelled() => return,
                    }
                }
            }
            Err(PollError::OtherIncarnation) => {
                leader.change(|sched, _| sched.mark_worker_dead(&id))
            }
            Err(PollError::Failed(err)) => {
                leader.change(|sched, _| sched.on_poll_failure(&id, &err.to_string()));
                tokio::time::sleep(SILENT_PAUSE).await;
            }
        }
    }
    leader.polls.lock().remove(&id);
}
