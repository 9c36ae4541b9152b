//! Places of the size the users want to reach: seven failure domains in three regions.

use super::spec::Place;

/// Failure domains with their regions. The first four are the standard world's.
pub(crate) const TARGET_DOMAINS: [(&str, &str); 7] = [
    ("kl-1", "kl"),
    ("kl-2", "kl"),
    ("kl-3", "kl"),
    ("kl-4", "kl"),
    ("ct-1", "sicily-east"),
    ("ct-2", "sicily-east"),
    ("sg-1", "singapore"),
];

/// Places of `count` instances spread over these domains.
pub(crate) fn target_places(count: usize) -> Vec<Place> {
    (0..count)
        .map(|at| {
            let (domain, region) = TARGET_DOMAINS[at % TARGET_DOMAINS.len()];
            Place {
                failure_domain: domain.into(),
                region: region.into(),
            }
        })
        .collect()
}
