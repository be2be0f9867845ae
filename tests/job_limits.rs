//! Jobs that are small as texts and large in memory.

use sapphirecroft::entry::PlatformFormat;
use sapphirecroft::platform::JsonFormat;
use sapphirecroft::scheduler::{JobSpec, MAX_STEPS, StepSpec};

/// Guards against a body whose steps take hundreds of times its size: decoding stops at the first step
/// too many.
#[test]
fn a_body_with_too_many_steps_is_not_decoded_to_its_end() {
    let steps = vec!["{}"; MAX_STEPS + 1].join(",");
    // The text after the last allowed step is no JSON, and is not read.
    let body = format!("{{\"spec\":\"x\",\"steps\":[{steps},?");

    let decoded = JsonFormat.job(body.as_bytes());

    let reason = decoded.expect_err("refused");
    assert!(reason.contains("more than 20000 elements"), "{reason}");
}

/// Guards against the same in calls of peers and in the store, where a step may take one byte.
#[test]
fn an_encoded_job_with_too_many_steps_is_not_decoded() {
    let spec = JobSpec {
        steps: vec![StepSpec::default(); MAX_STEPS + 1],
        ..JobSpec::default()
    };
    let encoded = rmp_serde::to_vec_named(&spec).expect("encoded");

    let decoded = rmp_serde::from_slice::<JobSpec>(&encoded);

    let reason = decoded.expect_err("refused").to_string();
    assert!(reason.contains("more than 20000 elements"), "{reason}");
}
