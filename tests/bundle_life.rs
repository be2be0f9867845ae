//! The workflow of a bundle: permissions, the order of steps, races, lost responses and key
//! changes.

mod bundle_support;

use bundle_support::*;
use sapphirecroft::bundle::key_id;
use sapphirecroft::prelude::*;
use sapphirecroft::schema::config::{KeyRing, ProposalState, Role};

fn expect_rejection<T: std::fmt::Debug>(result: Result<T, BundleError>) -> String {
    match result {
        Err(BundleError::Refused(reason) | BundleError::Forbidden(reason)) => reason,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn expect_conflict<T: std::fmt::Debug>(result: Result<T, BundleError>) -> OtherChange {
    match result {
        Err(BundleError::Conflict(other)) => other,
        other => panic!("expected a conflict, got {other:?}"),
    }
}

async fn put_ring(process: &Process, edit: impl FnOnce(&mut KeyRing)) -> Result<(), BundleError> {
    let mut ring = stored_ring(process).await;
    edit(&mut ring);
    let req = ring_request(&ring);
    process
        .manager
        .change_ring(Some(&id("ana")), req)
        .await
        .map(drop)
}

/// Guards against a roll-back that lowers the version, needs another review or is missing in the
/// history.
#[test]
fn versions_are_consecutive_and_roll_back_creates_a_new_one() {
    run(async {
        let (_, p) = site().await;
        release(&p, variant(1)).await;
        release(&p, variant(2)).await;

        let back = p
            .manager
            .roll_back(&id("ana"), Version(1))
            .await
            .expect("proposed")
            .proposal;
        sign_off(&p, "bo", &back).await.expect("needs no review");
        let released = p
            .manager
            .roll_out(&id("cam"), &back.id)
            .await
            .expect("rolled out");

        assert_eq!(released.version, Version(3));
        assert_eq!(released.text, variant(1));
        assert_eq!(p.keeper.newest(), Version(3));
        let history = p
            .manager
            .history(None, 10)
            .await
            .expect("history is readable");
        let versions: Vec<u64> = history.iter().map(|entry| entry.version.get()).collect();
        assert_eq!(versions, [3, 2, 1]);
    });
}

/// Guards against a proposer who reviews or signs off their own proposal.
#[test]
fn proposer_can_neither_review_nor_sign_off() {
    run(async {
        let (_, p) = site().await;
        let proposal = propose(&p, "ana", variant(1))
            .await
            .expect("proposed")
            .proposal;

        let reason = expect_rejection(review(&p, "ana", &proposal, true).await);
        review(&p, "bo", &proposal, true).await.expect("reviewed");
        let own = expect_rejection(sign_off(&p, "ana", &proposal).await);

        assert!(reason.contains("cannot review"), "{reason}");
        assert!(own.contains("cannot sign it off"), "{own}");
        assert_eq!(
            p.manager.current().await.expect("readable").version,
            Version(0)
        );
    });
}

/// Guards against skipped steps: sign-off before review, roll-out before sign-off, and any step
/// after a rejection.
#[test]
fn workflow_steps_cannot_be_skipped() {
    run(async {
        let (_, p) = site().await;
        let proposal = propose(&p, "ana", variant(1))
            .await
            .expect("proposed")
            .proposal;

        expect_rejection(sign_off(&p, "bo", &proposal).await);
        expect_rejection(p.manager.roll_out(&id("cam"), &proposal.id).await);
        review(&p, "bo", &proposal, false).await.expect("reviewed");
        let view = p.manager.proposal(&proposal.id).await.expect("readable");
        expect_rejection(review(&p, "cam", &proposal, true).await);
        expect_rejection(sign_off(&p, "bo", &proposal).await);

        assert_eq!(view.state, ProposalState::Rejected);
        assert_eq!(p.keeper.newest(), Version(0));
    });
}

/// Guards against a sign-off that is accepted although its signature is for another text or
/// version, or by another operator's key.
#[test]
fn signature_must_match_text_version_and_key() {
    run(async {
        let (_, p) = site().await;
        let other = propose(&p, "ana", variant(1))
            .await
            .expect("proposed")
            .proposal;
        let proposal = propose(&p, "ana", variant(2))
            .await
            .expect("proposed")
            .proposal;
        review(&p, "bo", &proposal, true).await.expect("reviewed");

        let wrong_text = sign("bo", 0, &other);
        let mut wrong_version = proposal.clone();
        wrong_version.base = Version(5);
        let wrong_version = sign("bo", 0, &wrong_version);
        let foreign_key = sign("cam", 0, &proposal);
        for req in [wrong_text, wrong_version, foreign_key] {
            expect_rejection(p.manager.sign_off(&id("bo"), &proposal.id, req).await);
        }
    });
}

/// Guards against calls that do not check the operator's role or team.
#[test]
fn roles_and_teams_limit_operators() {
    run(async {
        let (_, p) = site().await;
        release(&p, example()).await;
        put_ring(&p, |ring| {
            let mut dee = operator("dee", &[Role::Propose]);
            dee.all_teams = false;
            dee.teams = vec![id("tractor-service")];
            ring.put_operator(dee, Version(1));
        })
        .await
        .expect("ring is accepted");
        let own = example().replace("share = 3\n", "share = 4\n");

        let shared = expect_rejection(propose(&p, "dee", variant(1)).await);
        let proposal = propose(&p, "dee", own).await.expect("own team").proposal;
        let no_role = expect_rejection(review(&p, "dee", &proposal, true).await);
        let stranger = expect_rejection(propose(&p, "eve", variant(1)).await);

        assert!(shared.contains("[eviction] per_hour"), "{shared}");
        assert!(no_role.contains("role review"), "{no_role}");
        assert!(stranger.contains("eve"), "{stranger}");
    });
}

/// Guards against two concurrent roll-outs that both report success, and against a conflict that
/// does not name the winner.
#[test]
fn racing_roll_outs_conflict_and_name_the_winner() {
    run(async {
        let (kv, p) = site().await;
        let q = process(&kv, "entry-1");
        let first = signed(&p, variant(1)).await;
        let second = signed(&p, variant(2)).await;
        let (ana, cam) = (id("ana"), id("cam"));

        let (one, two) = tokio::join!(
            p.manager.roll_out(&cam, &first.id),
            q.manager.roll_out(&ana, &second.id)
        );

        let (won, lost) = match (one, two) {
            (Ok(won), lost @ Err(_)) => (won, lost),
            (lost @ Err(_), Ok(won)) => (won, lost),
            both => panic!("one of {both:?} must win"),
        };
        let other = expect_conflict(lost);
        assert_eq!(other.who, won.rolled_out_by);
        assert_eq!(other.version, Version(1));
        assert_eq!(other.at, won.rolled_out_at);
        assert_eq!(other.what, "roll-out of version 1");
        let late = expect_conflict(
            p.manager
                .roll_out(&cam, &second.id)
                .await
                .and(p.manager.roll_out(&ana, &first.id).await),
        );
        assert_eq!(late.version, Version(1));
    });
}

/// Guards against a lost request or response that is reported as a failure or causes a second
/// version.
#[test]
fn lost_responses_are_resolved_by_reading() {
    for loss in [Loss::Response, Loss::Request] {
        for lost_write in 0..3 {
            run(async {
                let (_, p) = site().await;
                release(&p, variant(1)).await;
                let proposal = signed(&p, variant(2)).await;
                // Audit entry, history and roll-out are the first three writes.
                p.link.lose_write(lost_write, loss);

                let released = p.manager.roll_out(&id("cam"), &proposal.id).await;

                assert_eq!(released.expect("resolved").version, Version(2));
                let again = p.manager.roll_out(&id("cam"), &proposal.id).await;
                assert_eq!(again.expect("same answer").version, Version(2));
                let report = p.audit.verify().await.expect("readable");
                assert_eq!((report.faults, report.open), (Vec::new(), Vec::new()));
            });
        }
    }
}

/// Guards against a roll-out that is reported as failed although it took effect: its response is
/// lost and another version replaces it before the outcome is known.
#[test]
fn overwritten_roll_out_is_found_in_the_history() {
    run(async {
        let (kv, p) = site().await;
        let q = process(&kv, "entry-1");
        let proposal = signed(&p, variant(1)).await;
        p.link.lose_write(1, Loss::Response);
        p.link.pause_after_loss();
        let cam = id("cam");
        let roll_out = p.manager.roll_out(&cam, &proposal.id);
        let overtake = async {
            p.link.until_paused().await;
            release(&q, variant(2)).await;
            p.link.resume();
        };

        let (released, ()) = tokio::join!(roll_out, overtake);

        assert_eq!(released.expect("took effect").version, Version(1));
        assert_eq!(
            q.manager.current().await.expect("readable").version,
            Version(2)
        );
    });
}

/// Guards against equal writer tokens of different processes whose ids are too long for a token.
#[test]
fn long_member_ids_give_distinct_tokens() {
    let tokens = |id: &str| sapphirecroft::records::WriterTokens::new(id.parse().expect("valid"));
    let (one, two) = (
        tokens(&"a".repeat(128)),
        tokens(&format!("{}b", "a".repeat(127))),
    );

    let all = [one.next(), one.next(), two.next(), two.next()];

    assert!(all.iter().all(|token| !token.as_str().is_empty()));
    let distinct: std::collections::BTreeSet<_> = all.iter().collect();
    assert_eq!(distinct.len(), 4);
}

/// Guards against a roll-out that is reported as done, or changes anything, while the store is
/// unreachable.
#[test]
fn store_outage_leaves_the_bundle_unchanged() {
    run(async {
        let (_, p) = site().await;
        let proposal = signed(&p, variant(1)).await;
        p.link.set_cut(true);

        let result = p.manager.roll_out(&id("cam"), &proposal.id).await;

        assert!(
            matches!(result, Err(BundleError::Unavailable(_))),
            "{result:?}"
        );
        p.link.set_cut(false);
        assert_eq!(
            p.manager.current().await.expect("readable").version,
            Version(0)
        );
        let state = p
            .manager
            .proposal(&proposal.id)
            .await
            .expect("readable")
            .state;
        assert_eq!(state, ProposalState::SignedOff);
    });
}

/// Guards against a rotated key that still signs, and against a rotation after which the version in
/// force no longer verifies.
#[test]
fn ended_keys_cannot_sign_later_versions() {
    run(async {
        let (kv, p) = site().await;
        release(&p, variant(1)).await;
        let pending = signed(&p, variant(2)).await;

        put_ring(&p, |ring| {
            let next = operator_key("bo", 1).public();
            ring.rotate(&id("bo"), next, None, Version(1))
                .expect("bo exists");
        })
        .await
        .expect("ring is accepted");

        let stale = expect_rejection(p.manager.roll_out(&id("cam"), &pending.id).await);
        assert!(stale.contains("not valid for version 2"), "{stale}");
        let fresh = process(&kv, "entry-1");
        fresh
            .keeper
            .refresh(fresh.link.as_ref())
            .await
            .expect("still verifies");
        assert_eq!(fresh.keeper.newest(), Version(1));
        let proposal = propose(&p, "ana", variant(3))
            .await
            .expect("proposed")
            .proposal;
        review(&p, "bo", &proposal, true).await.expect("reviewed");
        expect_rejection(sign_off(&p, "bo", &proposal).await);
        let req = sign("bo", 1, &proposal);
        p.manager
            .sign_off(&id("bo"), &proposal.id, req)
            .await
            .expect("new key signs");
    });
}

/// Guards against key rings that change past key ranges, share keys between operators, skip a
/// serial number or are edited after signing.
#[test]
fn invalid_ring_changes_are_rejected() {
    run(async {
        let (_, p) = site().await;
        release(&p, variant(1)).await;
        let edits: [fn(&mut KeyRing); 6] = [
            |ring| ring.serial += 2,
            |ring| {
                ring.serial += 1;
                ring.operators.remove(1);
            },
            |ring| {
                ring.serial += 1;
                ring.operators[1].keys[0].until = Some(Version(0));
            },
            |ring| {
                ring.serial += 1;
                ring.operators[1].keys[0].from = Version(3);
            },
            |ring| {
                ring.serial += 1;
                let key = ring.operators[1].keys[0].clone();
                ring.operators[2].keys.push(key);
            },
            |ring| {
                ring.serial += 1;
                let public = operator_key("bo", 9).public();
                let mut key = ring.operators[1].keys[0].clone();
                (key.id, key.public) = (key_id(&public), public);
                ring.operators[1].keys.push(key);
            },
        ];
        for edit in edits {
            expect_rejection(put_ring(&p, edit).await);
        }
        let mut foreign = stored_ring(&p).await;
        foreign.serial += 1;
        let mut req = ring_request(&foreign);
        req.ring.text.push(' ');
        expect_rejection(p.manager.change_ring(Some(&id("ana")), req).await);
        assert_eq!(stored_ring(&p).await.serial, 1);
    });
}
