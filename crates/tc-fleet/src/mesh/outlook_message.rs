//! Conversion of homes' load reports.

use tc_policy::{
    DependentPieces, DueHistogram, HomeOutlook, PRIORITY_LEVELS, PiecesByPriority, UsedShares,
};
use tc_protocol::{ServiceName, WorkspaceName};

use crate::{convert, generated as wire};

/// Maximum number of workspaces read from a report.
const MAX_WORKSPACES: usize = 64;

pub(super) fn outlook_to_wire(outlook: &HomeOutlook) -> wire::HomeOutlook {
    let to_wire = |(service, pieces): (&ServiceName, &DependentPieces)| wire::ComingPieces {
        service: service.to_string(),
        in_time: pieces.in_time.counts().to_vec(),
        all: pieces.total,
        less_urgent: priorities_to_wire(&pieces.less_urgent),
    };
    let below_min_share = outlook.below_min_share.iter().enumerate();
    wire::HomeOutlook {
        own_ms: convert::millis(outlook.base_latency),
        in_time: outlook.in_time.counts().to_vec(),
        waiting: outlook.waiting,
        pieces_per_s: outlook.pieces_per_s as f32,
        free: outlook.spare_capacity as f32,
        coming: outlook.dependent_pieces.iter().map(to_wire).collect(),
        less_urgent: priorities_to_wire(&outlook.less_urgent),
        over_share: outlook.over_share.counts().to_vec(),
        tight_level: outlook.tight_level.map_or(0, |level| level as u32 + 1),
        below_min_share: below_min_share
            .map(|(level, below)| u32::from(*below) << level)
            .sum(),
        shares: shares_to_wire(&outlook.shares),
        shares_age_ms: convert::millis(outlook.shares.age),
    }
}

pub(super) fn outlook_from_wire(outlook: &wire::HomeOutlook) -> HomeOutlook {
    let from_wire = |message: &wire::ComingPieces| {
        let pieces = DependentPieces {
            in_time: DueHistogram::from_counts(&message.in_time),
            less_urgent: priorities_from_wire(&message.less_urgent),
            total: message.all,
        };
        (message.service.as_str().into(), pieces)
    };
    let tight_level = outlook.tight_level.checked_sub(1);
    HomeOutlook {
        base_latency: convert::from_millis(outlook.own_ms),
        in_time: DueHistogram::from_counts(&outlook.in_time),
        less_urgent: priorities_from_wire(&outlook.less_urgent),
        over_share: DueHistogram::from_counts(&outlook.over_share),
        tight_level: tight_level.map(|level| (level as usize).min(PRIORITY_LEVELS - 1)),
        below_min_share: std::array::from_fn(|level| outlook.below_min_share >> level & 1 == 1),
        shares: shares_from_wire(outlook),
        waiting: outlook.waiting,
        pieces_per_s: f64::from(outlook.pieces_per_s),
        spare_capacity: f64::from(outlook.free),
        dependent_pieces: outlook.coming.iter().map(from_wire).collect(),
    }
}

/// Leaves out trailing priorities without pieces, so that a service with one priority sends none.
fn priorities_to_wire(pieces: &PiecesByPriority) -> Vec<wire::PiecesByDueTime> {
    let levels = pieces.levels().map(|level| wire::PiecesByDueTime {
        counts: level.counts().to_vec(),
    });
    let mut levels: Vec<_> = levels.collect();
    while levels.pop_if(|last| last.counts.is_empty()).is_some() {}
    levels
}

fn priorities_from_wire(levels: &[wire::PiecesByDueTime]) -> PiecesByPriority {
    PiecesByPriority::from_levels(
        levels
            .iter()
            .map(|level| DueHistogram::from_counts(&level.counts)),
    )
}

fn shares_to_wire(shares: &UsedShares) -> Vec<wire::WorkspaceUse> {
    let to_wire = |(workspace, seconds): &(WorkspaceName, f64)| wire::WorkspaceUse {
        workspace: workspace.to_string(),
        used_ms: (seconds * 1_000.0) as u32,
        is_over_share: shares.over_share.contains(workspace),
    };
    shares.seconds.iter().map(to_wire).collect()
}

fn shares_from_wire(outlook: &wire::HomeOutlook) -> UsedShares {
    let read = || outlook.shares.iter().take(MAX_WORKSPACES);
    let name = |message: &wire::WorkspaceUse| WorkspaceName::from(message.workspace.as_str());
    UsedShares {
        age: convert::from_millis(outlook.shares_age_ms),
        seconds: read()
            .map(|message| (name(message), f64::from(message.used_ms) / 1_000.0))
            .collect(),
        over_share: read()
            .filter(|message| message.is_over_share)
            .map(name)
            .collect(),
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    fn outlook() -> HomeOutlook {
        let mut in_time = DueHistogram::default();
        in_time.add(Duration::from_millis(300), 12);
        let mut less_urgent = PiecesByPriority::default();
        less_urgent.add(2, Duration::from_millis(300), 5);
        let mut over_share = DueHistogram::default();
        over_share.add(Duration::from_millis(300), 3);
        HomeOutlook {
            base_latency: Duration::from_millis(400),
            in_time,
            less_urgent,
            over_share,
            tight_level: Some(0),
            below_min_share: [false, true, false, false],
            shares: UsedShares {
                age: Duration::from_millis(20),
                seconds: vec![("large".into(), 2.5), ("small".into(), 0.25)],
                over_share: vec!["large".into()],
            },
            waiting: 12,
            pieces_per_s: 600.0,
            spare_capacity: 0.5,
            ..HomeOutlook::default()
        }
    }

    /// Guards against instances that schedule by another order than the home that sent the report.
    #[test]
    fn an_outlook_is_read_as_it_was_sent() {
        let sent = outlook();
        assert_eq!(outlook_from_wire(&outlook_to_wire(&sent)), sent);
    }

    /// Guards against a report of an earlier version, without priorities and shares, that is read as a shortage.
    #[test]
    fn an_outlook_of_an_earlier_version_is_read_by_due_time() {
        let mut message = outlook_to_wire(&outlook());
        message.less_urgent.clear();
        message.over_share.clear();
        message.shares.clear();
        (message.tight_level, message.below_min_share) = (0, 0);
        let read = outlook_from_wire(&message);
        assert_eq!(read.in_time, outlook().in_time);
        assert_eq!(read.tight_level, None);
        assert_eq!(read.below_min_share, [false; PRIORITY_LEVELS]);
        assert!(read.shares.seconds.is_empty());
    }
}
