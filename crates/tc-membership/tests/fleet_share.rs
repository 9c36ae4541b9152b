//! The number of instances that may be running, as instances report it to each other.

use std::{net::SocketAddr, time::Duration};

use tc_membership::{FleetShare, FleetSize};
use tc_protocol::MonoTime;

fn share(start: MonoTime, port: u16) -> FleetShare {
    FleetShare::new(start, SocketAddr::from(([10, 0, 0, 1], port)), &[])
}

/// Guards against a fleet that became smaller and whose instances confirm the larger number to each other for ever.
#[test]
fn reported_number_expires_although_instances_repeat_it() {
    let mut now = MonoTime::from_millis(1_000);
    let mut shares = [share(now, 1), share(now, 2)];
    let reported = FleetSize {
        instances: 8,
        valid_for: Duration::MAX,
    };
    shares[0].record_report(now, reported);
    for second in 0..1_200 {
        now = now.after(Duration::from_secs(1));
        let sizes = [shares[0].size(now), shares[1].size(now)];
        shares[0].record_report(now, sizes[1]);
        shares[1].record_report(now, sizes[0]);
        for share in &mut shares {
            share.observe(now, &[]);
        }
        if second == 300 {
            assert_eq!(shares.each_ref().map(FleetShare::instances), [8, 8]);
        }
    }
    assert_eq!(shares.each_ref().map(FleetShare::instances), [1, 1]);
}
