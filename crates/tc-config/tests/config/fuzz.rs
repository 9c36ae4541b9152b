//! Properties of the merge under arbitrary input.

use crate::base::BASE;
use bolero::generator::produce;
use tc_config::{SourceFile, merge, merge_with_overrides};

/// Whole tables that an operator may write.
const SOUND: &[&str] = &[
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

/// Tables that are wrong, or only right beside another one.
const DOUBTFUL: &[&str] = &[
    "[pipelines.p]\ndeadline_ms = 100\nstages = [{ name = \"s\", service = \"encode\" }]\n",
    "[pipelines.p]\ndeadline_ms = 200\n",
    "[pipelines]\np = 3\n",
    "[services.encode.upstreams]\nid = 1\n",
    "[workspaces.w.limits]\ncost_per_s = nan\n",
    "policy = []\n",
    "x = 1\n",
    "[\n",
];

/// Bytes from here up pick a doubtful table.
const FIRST_DOUBTFUL: u8 = 0xe0;

/// Enough files for every kind of override.
const MAX_FILES: usize = 8;

/// One file for each byte, its fragment chosen by the byte.
fn pick(picks: &[u8]) -> Vec<SourceFile> {
    let picks = picks.iter().take(MAX_FILES).enumerate();
    picks
        .map(|(i, pick)| {
            let tables = if *pick < FIRST_DOUBTFUL {
                SOUND
            } else {
                DOUBTFUL
            };
            let text = tables[usize::from(*pick) % tables.len()];
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
        for (at, byte) in damage {
            let at = usize::from(*at) % bytes.len();
            bytes[at] = *byte;
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
    tc_fuzz::check(2000, produce::<(Vec<u8>, u8)>(), |(picks, turn)| {
        let sorted = pick(picks);
        let mut turned = sorted.clone();
        turned.rotate_left(usize::from(*turn) % sorted.len().max(1));
        if turn & 0x80 != 0 {
            turned.reverse();
        }
        match (
            merge_with_overrides(&sorted, 1),
            merge_with_overrides(&turned, 1),
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
        let cut = |pick: &u8| starts[usize::from(*pick) % starts.len()];
        let (low, high) = (cut(first).min(cut(second)), cut(first).max(cut(second)));
        let parts = [
            SourceFile::new("c.toml", &BASE[..low]),
            SourceFile::new("a.toml", &BASE[low..high]),
            SourceFile::new("b.toml", &BASE[high..]),
        ];
        assert_eq!(merge(&parts, 1).expect("valid"), whole);
    });
}
