//! Nesting of a JSON text, before any of it is parsed.

/// Most objects and arrays within each other, in a text that need not be valid.
pub(super) fn nesting(text: &str) -> usize {
    let mut level = 0_usize;
    let mut deepest = 0;
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'"' => skip_string(&mut bytes),
            b'{' | b'[' => {
                level += 1;
                deepest = deepest.max(level);
            }
            b'}' | b']' => level = level.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

fn skip_string(bytes: &mut std::str::Bytes<'_>) {
    while let Some(b) = bytes.next() {
        match b {
            b'"' => return,
            b'\\' => {
                bytes.next();
            }
            _ => {}
        }
    }
}
