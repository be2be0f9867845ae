//! Validation of job specifications against limits, quotas and the fleet.

use super::refusal::Refusal;
use super::shares::quota;
use crate::placement::Fleet;
use crate::schema::batch::JobSpec;
use crate::schema::bundle::Bundle;

/// Record size above which a shard accepts no new jobs. It is half of the 1 MB limit of a value.
pub const MAX_RECORD_BYTES: usize = 512 << 10;

/// Maximum length of a key, kind, label name or label value.
const MAX_TEXT_BYTES: usize = 128;

/// Maximum number of labels of a job.
const MAX_LABELS: usize = 16;

/// Checks a specification at submission. Refuses jobs that are invalid or can never run.
pub fn check_spec(spec: &JobSpec, bundle: &Bundle, fleet: &Fleet) -> Result<(), Refusal> {
    let invalid = |what: &str| Err(Refusal::Invalid(what.to_string()));
    let bad_length = |text: &String| text.is_empty() || text.len() > MAX_TEXT_BYTES;
    if bad_length(&spec.key) || bad_length(&spec.kind) {
        return invalid("key and kind must have 1 to 128 bytes");
    }
    let labels_fit = spec.labels.len() <= MAX_LABELS
        && !spec
            .labels
            .iter()
            .any(|(name, value)| bad_length(name) || value.len() > MAX_TEXT_BYTES);
    if !labels_fit {
        return invalid("at most 16 labels of at most 128 bytes are allowed");
    }
    if spec.tasks == 0 || spec.tasks > bundle.batch.max_tasks_per_job {
        return Err(Refusal::Invalid(format!(
            "{} tasks; 1 to {} are allowed",
            spec.tasks, bundle.batch.max_tasks_per_job
        )));
    }
    if !bundle.batch_class.contains_key(&spec.class) {
        return Err(Refusal::Invalid(format!("no batch class {}", spec.class)));
    }
    if fleet.is_empty() {
        let unknown = "the VM list has not been read yet".to_string();
        return Err(Refusal::NotAccepted(unknown));
    }
    match infeasible_reason(spec, bundle, fleet) {
        Some(reason) => Err(Refusal::Impossible(reason)),
        None => Ok(()),
    }
}

/// Returns why no task of the job can run on this fleet under this bundle, or `None` if one can.
pub fn infeasible_reason(spec: &JobSpec, bundle: &Bundle, fleet: &Fleet) -> Option<String> {
    let size = &spec.resources;
    let Some(team) = bundle.team.get(&spec.team) else {
        return Some(format!("team {} has no quota", spec.team));
    };
    let quota = quota(team);
    if !size.fits(&quota) {
        return Some(format!(
            "a task needs {size}, the quota of team {} is {quota}",
            spec.team
        ));
    }
    if !fleet.is_empty() && !fleet.can_fit(size) {
        return Some(format!("a task needs {size}, no worker is that large"));
    }
    let zones = fleet.all_zones().len();
    let spread = spec.zone_spread.unwrap_or(1);
    if !fleet.is_empty() && usize::try_from(spread).is_ok_and(|spread| spread > zones) {
        return Some(format!(
            "tasks must spread over {spread} availability zones, there are {zones}"
        ));
    }
    None
}
