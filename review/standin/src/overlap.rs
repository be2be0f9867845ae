//! The check of runs that overlap.

use std::collections::BTreeMap;

use crate::site::{RunRecord, Site};

/// Overlaps up to this time are put down to the order in which two processes write their records.
const RECORD_DELAY_US: u128 = 20_000;

/// Counts the tasks with two runs at the same time, on workers that are up, and notes them.
pub fn count_overlaps(site: &mut Site) -> usize {
    let mut by_task: BTreeMap<String, Vec<RunRecord>> = BTreeMap::new();
    let runs = site.runs();
    for run in &runs {
        by_task
            .entry(run.task.clone())
            .or_default()
            .push(run.clone());
    }
    site.note(&format!(
        "{} tasks begun, {} runs",
        by_task.len(),
        runs.len()
    ));
    let (mut broken, mut done_twice) = (0, 0);
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.started);
        let done = runs.iter().filter(|run| run.how == "done").count();
        done_twice += usize::from(done > 1);
        for pair in runs.windows(2) {
            let end = pair[0].ended.unwrap_or(u128::MAX);
            if end > pair[1].started + RECORD_DELAY_US {
                broken += 1;
                let overlap = end.saturating_sub(pair[1].started) / 1000;
                site.note(&format!(
                    "TWICE: two runs of {task} at the same time for {overlap} ms"
                ));
                for run in pair {
                    site.note(&format!("    {run:?}"));
                }
                let lines = site.daemon_lines(&[&format!("\"{task}\"")]);
                for line in lines {
                    site.note(&format!("    {line}"));
                }
            }
        }
    }
    for line in site.daemon_lines(&["has started anew", "runs are lost"]) {
        site.note(&line);
    }
    site.note(&format!(
        "tasks with two runs at the same time: {broken}, tasks done twice: {done_twice}"
    ));
    broken
}
