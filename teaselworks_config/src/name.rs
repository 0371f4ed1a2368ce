//! What names of routers, workspaces, models and upstreams must look like.

/// Longest name, in bytes.
const LENGTH_MAX: usize = 128;

/// Returns what is wrong with a plain name, or `None`.
///
/// Names become parts of keys, headers, paths and metric labels, where other characters would have
/// to be escaped in each place alike.
pub(crate) fn problem(name: &str) -> Option<String> {
    problem_with(name, "")
}

/// Returns what is wrong with the name of a model, adapter or version, which may hold a slash.
pub(crate) fn model_problem(name: &str) -> Option<String> {
    problem_with(name, "/")
}

fn problem_with(name: &str, also_allowed: &str) -> Option<String> {
    if name.is_empty() {
        return Some("is empty".into());
    }
    if name.len() > LENGTH_MAX {
        return Some(format!("is longer than {LENGTH_MAX} characters"));
    }
    for character in name.chars() {
        let allowed = character.is_ascii_alphanumeric() || "._-".contains(character);
        if !allowed && !also_allowed.contains(character) {
            return Some(format!("holds {character:?}"));
        }
    }
    if !name.starts_with(|first: char| first.is_ascii_alphanumeric()) {
        return Some("does not begin with a letter or digit".into());
    }
    None
}
