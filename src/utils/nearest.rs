//! Suggests a valid name for a mistyped one.

/// Largest edit distance at which a name is suggested.
const DISTANCE_MAX: usize = 3;

/// Returns the name in `names` with the smallest edit distance to `word`. The distance may be at most half of the
/// name's length, so that short names are not suggested for unrelated words.
pub fn nearest<'k>(word: &str, names: impl Iterator<Item = &'k str>) -> Option<&'k str> {
    names
        .map(|name| (strsim::damerau_levenshtein(word, name), name))
        .filter(|(distance, name)| *distance <= DISTANCE_MAX.min(name.len() / 2))
        .min()
        .map(|(_, name)| name)
}
