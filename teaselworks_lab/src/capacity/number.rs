//! Numbers as the page shows them.

/// Digits that count.
const DIGITS: i32 = 3;
/// Numbers from here on are grouped by thousands.
const GROUPED_FROM: f64 = 1_000.0;

/// Returns a number with three digits that count, thousands grouped by commas.
///
/// ```
/// use teaselworks_lab::capacity::number;
///
/// assert_eq!(number(0.012345), "0.0123");
/// assert_eq!(number(6_097.6), "6,100");
/// assert_eq!(number(0.0), "0");
/// ```
pub fn number(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = DIGITS - 1 - magnitude;
    if decimals >= 0 {
        return trimmed(format!("{value:.*}", decimals as usize));
    }
    let unit = 10_f64.powi(-decimals);
    grouped((value / unit).round() * unit)
}

fn trimmed(text: String) -> String {
    if !text.contains('.') {
        return text;
    }
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

fn grouped(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    if value.abs() < GROUPED_FROM {
        return format!("{value:.0}");
    }
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 { format!("-{text}") } else { text }
}
