//! Order in which entry processes claim the leader key.

use sapphirecroft::entry::claim_delay;

/// Guards against a leader on the smallest VM of a site: planning for 490 workers takes so long
/// there that long-running tasks have waited for ten seconds.
#[test]
fn larger_vms_claim_first() {
    let addresses: Vec<String> = (1..60).map(|at| format!("10.1.0.{at}:7720")).collect();
    let delays = |processors: f64| {
        let all = addresses
            .iter()
            .map(move |address| claim_delay(address, processors));
        let all: Vec<_> = all.collect();
        (
            *all.iter().min().expect("some"),
            *all.iter().max().expect("some"),
        )
    };

    let (large, middle, small) = (delays(0.5), delays(0.25), delays(0.12));

    assert!(large.1 < middle.0, "{large:?} {middle:?}");
    assert!(middle.1 < small.0, "{middle:?} {small:?}");
}
