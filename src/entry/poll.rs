//! Hears from one worker as long as the leader knows it.

use std::time::Duration;

use tokio::sync::Notify;

use super::leader::Leader;
use super::ports::{PollError, PollRequest};
use crate::prelude::*;
use crate::scheduler::HoldPlan;

/// Pause after a worker did not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(250);

/// Reads the worker's lists until it is forgotten or the leader is lost.
pub(super) async fn poll_worker(leader: Arc<Leader>, id: WorkerId, wake: Arc<Notify>) {
    loop {
        let plan = {
            let now = leader.shared.clock.now();
            leader.sched.lock().hold_plan(&id, now)
        };
        let call = match plan {
            HoldPlan::Forget => break,
            HoldPlan::Pause(pause) => {
                tokio::select! {
                    () = tokio::time::sleep(pause.into()) => {}
                    () = wake.notified(), if pause > Millis(100) => {}
                    () = leader.lost.cancelled() => return,
                }
                continue;
            }
            HoldPlan::Call {
                address,
                fence,
                last_seen,
                deadline,
                wait,
            } => PollRequest {
                address,
                fence,
                last_seen,
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
                leader.change(|sched, now| sched.reported(&id, asked, now, wall, &report));
                let pause = leader.sched.lock().unseen_pause(&id);
                if let Some(pause) = pause {
                    tokio::select! {
                        () = tokio::time::sleep(pause.into()) => {}
                        () = wake.notified() => {}
                        () = leader.lost.cancelled() => return,
                    }
                }
            }
            Err(PollError::OtherIncarnation) => leader.change(|sched, _| sched.worker_ended(&id)),
            Err(PollError::Failed(err)) => {
                leader.change(|sched, _| sched.silent(&id, &err.to_string()));
                tokio::time::sleep(SILENT_PAUSE).await;
            }
        }
    }
    leader.polls.lock().remove(&id);
}
