//! Tests of the freshness lease and its override.

use buckthorncleat::clock;
use buckthorncleat::controller::freshness;

const LEASE: clock::Millis = clock::Millis::new(2_000);

fn at(ms: u64) -> clock::Millis {
    clock::Millis::new(ms)
}

#[test]
fn a_lease_counts_from_the_latest_request_that_was_answered() {
    let mut lease = freshness::Lease::new(LEASE);
    assert!(!lease.is_fresh(at(0)));
    // (sent, now, fresh); answers arrive late and out of order.
    let cases = [
        (1_000, 2_999, true),
        (1_000, 3_000, false),
        (2_500, 4_499, true),
        (1_500, 4_499, true),
        (1_500, 4_500, false),
    ];
    for (sent, now, fresh) in cases {
        lease.renew(at(sent));
        assert_eq!(lease.is_fresh(at(now)), fresh, "sent {sent}, now {now}");
        assert_eq!(lease.is_confirmed(at(now)), fresh, "sent {sent}, now {now}");
    }
}

#[test]
fn an_override_needs_a_confirmed_configuration_expires_and_does_not_extend_the_lease() {
    let mut lease = freshness::Lease::new(LEASE);
    assert!(
        lease
            .override_for(at(0), at(5_000))
            .unwrap_err()
            .is_unavailable()
    );
    lease.renew(at(0));
    let too_long = freshness::MAX_OVERRIDE + at(1);
    let e = lease.override_for(at(0), too_long).unwrap_err();
    assert!(e.to_string().contains("at most"), "{e}");
    assert_eq!(lease.override_for(at(3_000), at(5_000)).unwrap(), at(8_000));
    assert!(lease.is_fresh(at(7_999)) && lease.is_overridden(at(7_999)));
    assert!(!lease.is_confirmed(at(7_999)));
    assert_eq!(lease.until(), at(2_000));
    assert!(!lease.is_fresh(at(8_000)));
    lease.override_for(at(8_000), at(5_000)).unwrap();
    lease.end_override();
    assert!(!lease.is_fresh(at(8_001)));
}
