//! Random choice among servers whose known loads are old.

/// Returns an item at random, so that what all routers with this view place until the next summary
/// makes the scores equal; `None` without items.
///
/// `spread` is the sum of what that adds to the scores. Distributed from the lowest score on, it
/// raises some items to the same level; the probability of an item is its part of `spread`.
pub fn pick<T: Copy>(
    items: impl Iterator<Item = T>,
    random: u64,
    spread: f64,
    score: impl Fn(&T) -> f64,
) -> Option<T> {
    let mut scored: Vec<(f64, T)> = items.map(|item| (score(&item), item)).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut level = scored.first()?.0 + spread;
    let mut raised = 1;
    let mut sum = scored[0].0;
    while raised < scored.len() && scored[raised].0 < level {
        sum += scored[raised].0;
        raised += 1;
        level = (sum + spread) / raised as f64;
    }
    let mut point = to_fraction(random) * spread;
    for (score, item) in &scored[..raised] {
        point -= level - score;
        if point < 0.0 {
            return Some(*item);
        }
    }
    Some(scored[raised - 1].1)
}

/// Maps any number to a fraction below 1; close numbers are far apart there.
fn to_fraction(random: u64) -> f64 {
    const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;
    (random.wrapping_mul(GOLDEN_RATIO) >> 11) as f64 / (1_u64 << 53) as f64
}
