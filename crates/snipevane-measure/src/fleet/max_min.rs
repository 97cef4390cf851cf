//! Weighted max-min shares of a divisible capacity.

/// What a team asks for, and its weight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub(super) weight: f64,
    pub(super) demand: f64,
}

/// Returns each team's part of `capacity`: nobody gets more than its demand, and what that leaves
/// goes to the others by weight.
pub(super) fn shares(claims: &[Claim], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let level = |index: &usize| claims[*index].demand / claims[*index].weight;
    order.sort_by(|a, b| level(a).total_cmp(&level(b)));
    let mut shares = vec![0.0; claims.len()];
    let mut left = capacity;
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    for index in order {
        let claim = claims[index];
        let fair = left * claim.weight / weight;
        shares[index] = claim.demand.min(fair);
        left -= shares[index];
        weight -= claim.weight;
    }
    shares
}
