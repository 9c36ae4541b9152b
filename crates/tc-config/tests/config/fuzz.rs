//! Property tests of the merge with arbitrary input.

use crate::base::BASE;
use bolero::generator::produce;
use tc_config::{SourceFile, merge, merge_with_overrides};

/// Valid fragments that do not depend on other fragments.
const VALID_FRAGMENTS: &[&str] = &[
    "[models.draft]\nversion = \"7\"\n",
    "[models.draft]\nversion = \"8\"\nfloor = 3\n",
    "[services.encode]\nkind = \"pool\"\n",
    "[services.encode]\nkind = \"plain\"\nslots = 2\n",
    "[services.rank]\nkind = \"pool\"\nupstreams = [{ id = \"e\", address = \"10.0.0.1:1\", failure_domain = \"a\" }]\n",
    "[services]\nrank.kind = \"pool\"\nencode.kind = \"pool\"\n",
    "[workspaces.w]\ntoken_sha256 = \"0000000000000000000000000000000000000000000000000000000000000001\"\n",
    "[workspaces.v]\ntoken_sha256 = \"0000000000000000000000000000000000000000000000000000000000000002\"\nlimits.cost_per_s = 2\n",
    "[policy]\nshard_size = 6\n",
    "[policy]\nshard_size = 7\nclaim_retention_s = 9223372036854775807\n",
];

/// Fragments that are invalid, or valid only together with another fragment.
const FALLIBLE_FRAGMENTS: &[&str] = &[
    "[pipelines.p]\ndeadline_ms = 100\nstages = [{ name = \"s\", service = \"encode\" }]\n",
    "[pipelines.p]\ndeadline_ms = 200\n",
    "[pipelines]\np = 3\n",
    "[services.encode.upstreams]\nid = 1\n",
    "[workspaces.w.limits]\ncost_per_s = nan\n",
    "policy = []\n",
    "x = 1\n",
    "[\n",
];

/// Bytes from this value up select a fragment from [`FALLIBLE_FRAGMENTS`].
const FIRST_FALLIBLE: u8 = 0xe0;

/// Maximum number of files in a merge; enough to produce every kind of override.
const MAX_FILES: usize = 8;

/// Creates one file per byte, up to [`MAX_FILES`], with the fragment that the byte selects.
fn files_from_bytes(selectors: &[u8]) -> Vec<SourceFile> {
    let selectors = selectors.iter().take(MAX_FILES).enumerate();
    selectors
        .map(|(i, selector)| {
            let fragments = if *selector < FIRST_FALLIBLE {
                VALID_FRAGMENTS
            } else {
                FALLIBLE_FRAGMENTS
            };
            let text = fragments[usize::from(*selector) % fragments.len()];
            SourceFile::new(&format!("{i}.toml"), text)
        })
        .collect()
}

#[test]
fn arbitrary_bytes_never_panic() {
    tc_fuzz::check(4000, produce::<Vec<u8>>(), |bytes: &Vec<u8>| {
        let text = String::from_utf8_lossy(bytes);
        let _ = merge(&[SourceFile::new("a.toml", &text)], 1);
    });
}

#[test]
fn damaged_configurations_never_panic() {
    tc_fuzz::check(2000, produce::<Vec<(u16, u8)>>(), |damage| {
        let mut bytes = BASE.as_bytes().to_vec();
        for (offset, byte) in damage {
            let offset = usize::from(*offset) % bytes.len();
            bytes[offset] = *byte;
        }
        let text = String::from_utf8_lossy(&bytes);
        if let Err(error) = merge(&[SourceFile::new("a.toml", &text)], 1) {
            for fault in error.faults() {
                assert!(fault.line() <= text.matches('\n').count() + 1);
            }
        }
    });
}

#[test]
fn the_order_in_which_files_are_given_does_not_matter() {
    tc_fuzz::check(2000, produce::<(Vec<u8>, u8)>(), |(selectors, rotation)| {
        let sorted = files_from_bytes(selectors);
        let mut reordered = sorted.clone();
        reordered.rotate_left(usize::from(*rotation) % sorted.len().max(1));
        if rotation & 0x80 != 0 {
            reordered.reverse();
        }
        match (
            merge_with_overrides(&sorted, 1),
            merge_with_overrides(&reordered, 1),
        ) {
            (Ok(a), Ok(b)) => assert_eq!(a, b),
            (Err(a), Err(b)) => assert_eq!(format!("{a:?}"), format!("{b:?}")),
            (a, b) => panic!("{a:?} and {b:?}"),
        }
    });
}

#[test]
fn splitting_a_file_between_tables_changes_nothing() {
    let starts: Vec<usize> = BASE.match_indices("\n[").map(|(at, _)| at).collect();
    let whole = merge(&[SourceFile::new("a.toml", BASE)], 1).expect("valid");
    tc_fuzz::check(500, produce::<(u8, u8)>(), |(first, second)| {
        let cut = |selector: &u8| starts[usize::from(*selector) % starts.len()];
        let (low, high) = (cut(first).min(cut(second)), cut(first).max(cut(second)));
        let parts = [
            SourceFile::new("c.toml", &BASE[..low]),
            SourceFile::new("a.toml", &BASE[low..high]),
            SourceFile::new("b.toml", &BASE[high..]),
        ];
        assert_eq!(merge(&parts, 1).expect("valid"), whole);
    });
}
