//! The order in which the stages of a route can run.

use super::RouteStage;

/// Returns the indices of the stages in an order in which each stage comes after those whose results it reads. Stages
/// that are listed in such an order keep it.
///
/// Returns `None` if stages depend on each other in a circle, or on a stage that does not exist.
///
/// ```
/// use tc_protocol::routing::{RouteStage, stage_order};
/// let stage = |depends_on| RouteStage { service: "s".into(), depends_on, result_bytes: 8_000 };
/// assert_eq!(stage_order(&[stage(vec![1]), stage(vec![])]), Some(vec![1, 0]));
/// assert_eq!(stage_order(&[stage(vec![1]), stage(vec![0])]), None);
/// assert_eq!(stage_order(&[stage(vec![4])]), None);
/// ```
#[must_use]
pub fn stage_order(stages: &[RouteStage]) -> Option<Vec<usize>> {
    let mut order = Vec::with_capacity(stages.len());
    let mut is_placed = vec![false; stages.len()];
    while order.len() < stages.len() {
        let is_next = |stage: &usize| {
            let mut inputs = stages[*stage].depends_on.iter();
            !is_placed[*stage] && inputs.all(|input| is_placed.get(*input) == Some(&true))
        };
        let next = (0..stages.len()).find(is_next)?;
        is_placed[next] = true;
        order.push(next);
    }
    Some(order)
}
