//! Validation of the fleet-wide policy.

use tc_protocol::FleetConfig;

use super::Context;
use crate::FaultKind;

/// Longest time in seconds that callers may cache an address; a planned stop waits until such caches expire.
const MAX_ADDRESS_AGE_S: u64 = 60;
const MS_PER_S: u64 = 1000;

pub(super) fn check(config: &FleetConfig, cx: &mut Context<'_>) {
    let policy = &config.policy;
    let quantile = policy.admission_quantile;
    let in_range = quantile > 0.0 && quantile < 1.0;
    check_range(
        cx,
        "admission_quantile",
        &quantile,
        in_range,
        "between 0 and 1",
    );
    for (key, ratio) in [
        ("hedge_ratio", policy.hedge_ratio),
        ("retry_ratio", policy.retry_ratio),
    ] {
        check_range(cx, key, &ratio, (0.0..=1.0).contains(&ratio), "from 0 to 1");
    }
    for (key, distance) in [
        ("cross_domain_ms", policy.cross_domain_ms),
        ("cross_region_ms", policy.cross_region_ms),
    ] {
        let in_range = distance.is_finite() && distance >= 0.0;
        check_range(cx, key, &distance, in_range, "from 0 up, and finite");
    }
    let age = policy.address_max_age_s;
    let in_range = (1..=MAX_ADDRESS_AGE_S).contains(&age);
    check_range(cx, "address_max_age_s", &age, in_range, "from 1 to 60");
    for (key, number) in [
        ("shard_size", policy.shard_size),
        ("crashes_to_quarantine", policy.crashes_to_quarantine),
        ("queue_per_workspace", policy.queue_per_workspace),
    ] {
        cx.check_positive(&["policy", key], f64::from(number));
    }
    check_retention(config, cx);
}

fn check_range(
    cx: &mut Context<'_>,
    key: &str,
    found: &impl ToString,
    in_range: bool,
    range: &'static str,
) {
    if !in_range {
        let found = found.to_string();
        cx.add_fault(&["policy", key], FaultKind::OutOfRange { found, range });
    }
}

/// Checks that claims are retained for at least the longest pipeline deadline. Otherwise a request resent
/// near its deadline would find no claim and run again.
fn check_retention(config: &FleetConfig, cx: &mut Context<'_>) {
    let retention_s = config.policy.claim_retention_s;
    let longest = config.pipelines.iter().max_by_key(|(_, p)| p.deadline_ms);
    let Some((name, pipeline)) = longest else {
        return;
    };
    let needed_s = pipeline.deadline_ms.div_ceil(MS_PER_S);
    // A deadline that is too long is reported by the pipeline checks.
    if retention_s < needed_s && pipeline.deadline_ms <= super::MAX_DEADLINE_MS {
        let kind = FaultKind::RetentionTooShort {
            retention_s,
            pipeline: name.to_string(),
            needed_s,
        };
        cx.add_fault(&["policy", "claim_retention_s"], kind);
    }
}
