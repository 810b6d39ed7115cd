//! Finds the known name nearest to a mistyped one.

/// Largest edit distance at which a name is offered.
const DISTANCE_MAX: usize = 3;

/// Returns the name of `known` nearest to `word`, if one is near enough to be meant.
pub fn nearest<'k>(word: &str, known: impl Iterator<Item = &'k str>) -> Option<&'k str> {
    known
        .map(|name| (strsim::damerau_levenshtein(word, name), name))
        .filter(|(distance, name)| *distance <= DISTANCE_MAX.min(name.len() / 2))
        .min()
        .map(|(_, name)| name)
}
