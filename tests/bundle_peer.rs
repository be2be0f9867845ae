//! Verification of records from peers and from the store: which ones a process accepts or rejects.

mod bundle_support;

use bundle_support::*;
use proptest::prelude::*;
use sapphirecroft::bundle::{
    ActiveBundle, BundleKeeper, PrivateKey, SignOffSubject, digest_of, sign_ring,
};
use sapphirecroft::prelude::*;
use sapphirecroft::schema::config::{CurrentRecord, KeyRing, Release};
use sapphirecroft::web::{decode, encode};

fn keeper() -> BundleKeeper {
    BundleKeeper::new(trust(), std::sync::Arc::new(ActiveBundle::default()))
}

/// Returns the record of a site with two rolled-out versions.
fn record() -> CurrentRecord {
    run(async {
        let (_, p) = site().await;
        release(&p, variant(1)).await;
        release(&p, variant(2)).await;
        decode(&p.keeper.export().expect("bundle is in force")).expect("record is valid")
    })
}

fn offer(keeper: &BundleKeeper, record: &CurrentRecord) -> Result<bool, BundleError> {
    keeper.offer(&encode(record).expect("record can be encoded"))
}

fn release_mut(record: &mut CurrentRecord) -> &mut Release {
    record.release.as_mut().expect("record has a release")
}

/// Replaces the sign-off of the release by one with any key under any operator's name.
fn sign_as(record: &mut CurrentRecord, signer: &str, key: &PrivateKey) {
    let release = release_mut(record);
    let subject = SignOffSubject {
        site: release.site.clone(),
        version: release.version,
        digest: release.digest,
        proposer: release.proposer.clone(),
    };
    release.sign_off.signer = id(signer);
    release.sign_off.key = key.id();
    release.sign_off.signature = key.sign(&subject.message());
}

fn with_version(record: &CurrentRecord, version: u64) -> CurrentRecord {
    let mut next = record.clone();
    next.version = Version(version);
    release_mut(&mut next).version = Version(version);
    next
}

fn ring_of(record: &CurrentRecord) -> KeyRing {
    trust().verify_ring(&record.ring).expect("ring is valid")
}

/// Guards against a process that needs the store to verify a record from a peer, and so has no
/// bundle when it starts during an outage of the store.
#[test]
fn process_started_in_an_outage_accepts_a_peer_record() {
    let new_process = keeper();

    let accepted = offer(&new_process, &record());

    assert_eq!(accepted, Ok(true));
    assert_eq!(new_process.newest(), Version(2));
    assert_eq!(new_process.ring_serial(), 1);
    let bundle = new_process.active().current().expect("bundle is in force");
    assert_eq!(bundle.bundle.eviction.per_hour, 202);
    let next = keeper();
    let relayed = new_process.export().expect("record is kept");
    assert_eq!(next.offer(&relayed), Ok(true));
}

/// Guards against a version in force that decreases because a peer offers a validly signed older
/// one.
#[test]
fn older_version_is_ignored() {
    let newest = record();
    let holder = keeper();
    offer(&holder, &newest).expect("record is valid");
    let mut old = with_version(&newest, 1);
    sign_as(&mut old, "bo", &operator_key("bo", 0));

    let accepted = offer(&holder, &old);

    assert_eq!(accepted, Ok(false));
    assert_eq!(holder.newest(), Version(2));
}

/// Guards against a bundle that comes into force without a valid sign-off, with an untrusted key
/// ring or with faults in its text.
#[test]
fn forged_records_are_rejected() {
    let genuine = record();
    let forged: Vec<(&str, CurrentRecord)> = vec![
        ("sign-off of another version", with_version(&genuine, 3)),
        ("proposer signs", {
            let mut next = with_version(&genuine, 3);
            sign_as(&mut next, "ana", &operator_key("ana", 0));
            next
        }),
        ("unknown key", {
            let mut next = with_version(&genuine, 3);
            sign_as(&mut next, "bo", &operator_key("bo", 5));
            next
        }),
        ("key of somebody else", {
            let mut next = with_version(&genuine, 3);
            sign_as(&mut next, "bo", &operator_key("ana", 0));
            next
        }),
        ("edited text", {
            let mut next = with_version(&genuine, 3);
            sign_as(&mut next, "bo", &operator_key("bo", 0));
            release_mut(&mut next).text.push('\n');
            next
        }),
        ("text and digest of another bundle", {
            let mut next = genuine.clone();
            let release = release_mut(&mut next);
            release.text = variant(9);
            release.digest = digest_of(release.text.as_bytes());
            next
        }),
        ("signed text with faults", {
            let mut next = with_version(&genuine, 3);
            let release = release_mut(&mut next);
            release.text = variant(9).replace("hedge = true", "hedge = maybe");
            release.digest = digest_of(release.text.as_bytes());
            sign_as(&mut next, "bo", &operator_key("bo", 0));
            next
        }),
        ("record and release differ in version", {
            let mut next = genuine.clone();
            next.version = Version(7);
            next
        }),
        ("ring without root signature", {
            let mut next = with_version(&genuine, 3);
            let mut ring = ring_of(&genuine);
            ring.serial += 1;
            next.ring = sign_ring(&ring, &operator_key("bo", 0)).expect("signed");
            sign_as(&mut next, "bo", &operator_key("bo", 0));
            next
        }),
        ("ring of another site", {
            let mut next = genuine.clone();
            let mut ring = ring_of(&genuine);
            ring.site = id("tran-hai");
            ring.serial += 1;
            next.ring = sign_ring(&ring, &root_key()).expect("signed");
            next
        }),
    ];
    let holder = keeper();
    offer(&holder, &genuine).expect("record is valid");
    let before = holder.export();
    for (name, record) in forged {
        for target in [&holder, &keeper()] {
            let (version, ring) = (target.newest(), target.ring_serial());

            let accepted = offer(target, &record);

            assert!(accepted.is_err(), "{name} was accepted");
            assert_eq!(
                (target.newest(), target.ring_serial()),
                (version, ring),
                "{name}"
            );
        }
    }
    assert_eq!(holder.export(), before);
}

/// Guards against an ended key that becomes valid again when a peer offers a record with the key
/// ring from before its end.
#[test]
fn old_key_ring_does_not_reactivate_an_ended_key() {
    let genuine = record();
    let mut ended = genuine.clone();
    let mut ring = ring_of(&genuine);
    ring.revoke(&id("bo"), None, Version(2)).expect("bo exists");
    ended.ring = sign_ring(&ring, &root_key()).expect("signed");
    let holder = keeper();
    assert_eq!(offer(&holder, &genuine), Ok(true));
    assert_eq!(offer(&holder, &ended), Ok(true));
    let mut forged = with_version(&genuine, 3);
    sign_as(&mut forged, "bo", &operator_key("bo", 0));

    let accepted = offer(&holder, &forged);

    assert!(accepted.is_err(), "{accepted:?}");
    assert_eq!((holder.newest(), holder.ring_serial()), (Version(2), 2));
    let new_process = keeper();
    let relayed = holder.export().expect("record is kept");
    assert_eq!(new_process.offer(&relayed), Ok(true));
    assert_eq!(
        (new_process.newest(), new_process.ring_serial()),
        (Version(2), 2)
    );
}

fn check_bytes(buf: &[u8], genuine: &CurrentRecord) -> Result<(), TestCaseError> {
    let target = keeper();
    match target.offer(buf) {
        Ok(true) => {
            // Only fields that no signature covers can differ, such as the operator who rolled out.
            let bundle = target.active().current();
            let text = &genuine.release.as_ref().expect("release").text;
            let expected = sapphirecroft::bundle::parse_bundle(text).expect("valid");
            prop_assert!(bundle.is_none_or(|held| held.bundle == expected));
        }
        Ok(false) => prop_assert_eq!(target.newest(), Version(0)),
        Err(err) => {
            prop_assert!(!err.to_string().is_empty());
            prop_assert_eq!(target.newest(), Version(0));
            prop_assert_eq!(target.ring_serial(), 0);
            prop_assert!(target.export().is_none());
        }
    }
    Ok(())
}

/// Guards against corrupted or random records that cause a panic or are accepted.
#[test]
fn corrupted_records_change_nothing() {
    let genuine = record();
    let buf = encode(&genuine).expect("record can be encoded");
    let damage = prop::collection::vec((0..buf.len(), any::<u8>()), 1..4);
    let cut = 0..=buf.len();
    runner(400, 21)
        .run(&(damage, cut, any::<bool>()), |(damage, cut, keep)| {
            let mut buf = buf.clone();
            for (at, byte) in damage {
                buf[at] ^= byte;
            }
            buf.truncate(if keep { buf.len() } else { cut });
            check_bytes(&buf, &genuine)
        })
        .unwrap_or_else(|err| panic!("{err}"));
    runner(200, 22)
        .run(&prop::collection::vec(any::<u8>(), 0..300), |buf| {
            check_bytes(&buf, &genuine)
        })
        .unwrap_or_else(|err| panic!("{err}"));
}
