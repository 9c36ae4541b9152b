//! Finds the known word most similar to a mistyped one.

/// Minimum Jaro-Winkler similarity of a suggestion; less similar suggestions are confusing.
const MIN_SIMILARITY: f64 = 0.7;

/// Returns the candidate most similar to `word`, or `None` if no candidate is similar enough.
///
/// ```
/// assert_eq!(tc_config::nearest("dedline_ms", ["deadline_ms", "stages"]), Some("deadline_ms"));
/// assert_eq!(tc_config::nearest("zzz", ["deadline_ms", "stages"]), None);
/// ```
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = candidates
        .into_iter()
        .map(|c| (strsim::jaro_winkler(word, c), c));
    let best = scored.max_by(|(a, _), (b, _)| a.total_cmp(b));
    best.filter(|(score, _)| *score >= MIN_SIMILARITY)
        .map(|(_, candidate)| candidate)
}
