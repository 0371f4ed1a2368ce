//! Division of an amount by rank, and between classes of one rank.

/// Part of the slots that each rank with requests keeps. A kind of request of which nothing is
/// served looks like an outage to its callers.
const FLOOR: f64 = 0.05;
/// Bound on all floors together, where a service has more ranks than usual.
const MAX_FLOORS: f64 = 0.5;
/// Bound on the steps of the search for the level at which the amount is used up. Where the amounts
/// are linear in the level, two are enough.
const MAX_STEPS: u32 = 100;
/// Part of the amount that may stay unused, which rounding would otherwise make the search miss.
const UNUSED: f64 = 1e-10;

/// Returns how much of `amount` each rank gets, the most urgent first, at least `given` and at most
/// `offered`.
///
/// A rank gets something beyond its floor only when the more urgent ones have all they offer. No
/// rank gets a larger fraction than a more urgent one, except by what it was given before.
///
/// ```
/// use teaselworks_policy::shares::rank_amounts;
///
/// let amounts = rank_amounts(100.0, &[0.0, 0.0], &[200.0, 200.0]);
/// assert!((amounts[0] - 95.0).abs() < 1e-6 && (amounts[1] - 5.0).abs() < 1e-6);
/// ```
pub fn rank_amounts(amount: f64, given: &[f64], offered: &[f64]) -> Vec<f64> {
    if offered.iter().sum::<f64>() <= amount {
        return offered.to_vec();
    }
    if given.iter().sum::<f64>() >= amount {
        return given.to_vec();
    }
    let floor = amount * FLOOR.min(MAX_FLOORS / offered.len() as f64);
    // Between -1 and 0, the level raises the floors, and between n and n + 1 the part of rank n.
    let mut low = (-1.0, given.iter().sum::<f64>());
    let mut high = (offered.len() as f64, offered.iter().sum::<f64>());
    for step in 0..MAX_STEPS {
        if low.1 >= amount * (1.0 - UNUSED) {
            break;
        }
        // Interpolates, and halves the interval in between, which it needs where the sum bends.
        let part = (amount * (1.0 - UNUSED / 2.0) - low.1) / (high.1 - low.1);
        let part = if step % 2 == 0 { part.clamp(0.0, 1.0) } else { 0.5 };
        let level = low.0 + part * (high.0 - low.0);
        let used = amounts_at(level, floor, given, offered).sum::<f64>();
        if used <= amount {
            low = (level, used);
        } else {
            high = (level, used);
        }
    }
    amounts_at(low.0, floor, given, offered).collect()
}

/// Returns the amounts at a level; none of them falls as the level rises.
fn amounts_at(level: f64, floor: f64, given: &[f64], offered: &[f64]) -> impl Iterator<Item = f64> {
    let floor = floor * (1.0 + level).min(1.0);
    let mut most: f64 = 1.0;
    given.iter().zip(offered).enumerate().map(move |(rank, (given, offered))| {
        let by_order = offered * (level - rank as f64).clamp(0.0, 1.0);
        let amount = by_order.max(floor).min(most * offered).max(*given);
        if *offered > 0.0 {
            most = most.min(amount / offered);
        }
        amount
    })
}

/// Divides an amount between pairs of load and weight, max-min fair by weight: what some do not need
/// goes to the others.
///
/// ```
/// use teaselworks_policy::shares::max_min;
///
/// assert_eq!(max_min(9.0, &[(1.0, 1.0), (10.0, 1.0), (10.0, 3.0)]), [1.0, 2.0, 6.0]);
/// ```
pub fn max_min(amount: f64, loads: &[(f64, f64)]) -> Vec<f64> {
    if loads.iter().map(|(load, _)| load).sum::<f64>() <= amount {
        return loads.iter().map(|(load, _)| *load).collect();
    }
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| {
        let need = |index: &usize| loads[*index].0 / loads[*index].1;
        need(a).total_cmp(&need(b))
    });
    let mut rest = amount.max(0.0);
    let mut weights: f64 = loads.iter().map(|(_, weight)| weight).sum();
    let mut parts = vec![0.0; loads.len()];
    for index in order {
        let (load, weight) = loads[index];
        // Rounding must not give the last more than the rest.
        let part = load.min(rest * (weight / weights).clamp(0.0, 1.0));
        parts[index] = part;
        rest -= part;
        weights -= weight;
    }
    parts
}
