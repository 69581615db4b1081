//! Suggestions for misspelt words.

/// Maximum edit distance between a word and its suggestion.
const MAX_DISTANCE: usize = 2;

/// Returns the known word most similar to `word`, or `None` if none is similar enough.
///
/// A short word is within `MAX_DISTANCE` of almost any other, so the distance must also be less than half the
/// length of `word`.
pub(super) fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    let letters: Vec<char> = word.to_lowercase().chars().take(32).collect();
    known
        .iter()
        .map(|k| (edit_distance(&letters, &k.chars().collect::<Vec<_>>()), *k))
        .filter(|(d, _)| *d <= MAX_DISTANCE && d * 2 < letters.len().max(1))
        .min_by_key(|(d, _)| *d)
        .map(|(_, k)| k)
}

/// Returns the number of insertions, deletions, substitutions and swaps of neighbours that turn `a` into `b`.
fn edit_distance(a: &[char], b: &[char]) -> usize {
    let mut rows = vec![vec![0; b.len() + 1]; a.len() + 1];
    for (i, row) in rows.iter_mut().enumerate() {
        row[0] = i;
    }
    rows[0] = (0..=b.len()).collect();
    for i in 1..=a.len() {
        for j in 1..=b.len() {
            let replaced = rows[i - 1][j - 1] + usize::from(a[i - 1] != b[j - 1]);
            let mut best = replaced.min(rows[i - 1][j] + 1).min(rows[i][j - 1] + 1);
            if i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1] {
                best = best.min(rows[i - 2][j - 2] + 1);
            }
            rows[i][j] = best;
        }
    }
    rows[a.len()][b.len()]
}
