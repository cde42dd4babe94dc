//! Fair shares of client accounts.

/// Divides an amount among claims by weight; none gets more than its demand.
///
/// What one claim leaves unused goes to the others, again by weight (weighted max-min fairness).
/// Demands and the amount have the same unit. Weights must be above 0.
pub fn shares(amount: f64, claims: &[Claim]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let ratio = |i: usize| claims[i].demand / claims[i].weight;
    order.sort_by(|a, b| ratio(*a).total_cmp(&ratio(*b)));
    let mut remaining = amount;
    let mut remaining_weight: f64 = claims.iter().map(|c| c.weight).sum();
    let mut shares = vec![0.0; claims.len()];
    for i in order {
        let fair = remaining * claims[i].weight / remaining_weight;
        shares[i] = fair.min(claims[i].demand);
        remaining -= shares[i];
        remaining_weight -= claims[i].weight;
    }
    shares
}

/// Demand and weight of one account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Most that the account can use.
    pub demand: f64,
    pub weight: f64,
}
