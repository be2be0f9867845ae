//! Processor time by activity.

use std::time::{Duration, Instant};

use sapphirecroft::telemetry::Activity;

fn spin(length: Duration) {
    let began = Instant::now();
    while began.elapsed() < length {
        std::hint::spin_loop();
    }
}

/// Guards against time that counts for an activity and for the one nested in it, which would make
/// the sum of all activities exceed the time of the thread.
#[test]
fn nested_activities_are_not_counted_twice() {
    let began = Instant::now();

    {
        let _outer = Activity::Plan.enter();
        let _inner = Activity::Log.enter();
        spin(Duration::from_millis(20));
    }

    let elapsed = began.elapsed();
    let (outer, inner) = (Activity::Plan.total(), Activity::Log.total());
    assert!(inner >= Duration::from_millis(20), "{inner:?}");
    assert!(outer + inner <= elapsed, "{outer:?} + {inner:?}");
}

/// Guards against waits that count as processor time of a measured future.
#[tokio::test]
async fn waits_of_a_measured_future_do_not_count() {
    let future = Activity::Tick.measure(async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        spin(Duration::from_millis(20));
    });

    future.await;

    let total = Activity::Tick.total();
    assert!(total >= Duration::from_millis(20), "{total:?}");
    assert!(total < Duration::from_millis(900), "{total:?}");
}
