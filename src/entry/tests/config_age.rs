//! Age of the confirmation of the configuration.

use super::super::config_age::ConfigAge;
use crate::prelude::*;

const LIMIT: Millis = Millis(3000);

/// Guards against a daemon that takes its configuration for current although nothing has confirmed
/// it for longer than a new one may take, and against one that says so before it has any.
#[test]
fn a_configuration_is_outdated_once_its_confirmation_exceeds_the_limit() {
    let mut age = ConfigAge::new(LIMIT);
    assert_eq!(age.age(Millis(9000)), None);
    assert!(!age.exceeds_limit(Millis(9000)));

    age.confirm(Millis(10_000), Millis(10_100));

    assert!(!age.exceeds_limit(Millis(13_000)));
    assert!(age.exceeds_limit(Millis(13_001)));
}

/// Guards against an answer that arrives late and makes an older confirmation of a newer one.
#[test]
fn a_late_answer_does_not_reduce_the_confirmation() {
    let mut age = ConfigAge::new(LIMIT);
    age.confirm(Millis(10_000), Millis(10_100));

    age.confirm(Millis(8000), Millis(10_200));

    assert_eq!(age.age(Millis(10_500)), Some(Millis(500)));
}

/// Guards against log lines for every request while a configuration is outdated.
#[test]
fn an_outdated_configuration_is_noted_once_and_its_end_once() {
    let mut age = ConfigAge::new(LIMIT);
    age.confirm(Millis(10_000), Millis(10_000));

    let noted: Vec<_> = [12_000, 14_000, 15_000]
        .map(|now| age.note_outdated(Millis(now)))
        .to_vec();
    let ended: Vec<_> = [16_000, 16_100]
        .map(|now| age.confirm(Millis(now), Millis(now)))
        .to_vec();

    assert_eq!(noted, [None, Some(Millis(4000)), None]);
    assert_eq!(ended, [Some(Millis(6000)), None]);
}
