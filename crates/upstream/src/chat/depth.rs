//! Nesting depth of a JSON text, computed before the text is parsed.

/// Maximum number of nested objects and arrays. The text need not be valid JSON.
pub(super) fn nesting_depth(text: &str) -> usize {
    let mut level = 0_usize;
    let mut max_level = 0;
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'"' => skip_string(&mut bytes),
            b'{' | b'[' => {
                level += 1;
                max_level = max_level.max(level);
            }
            b'}' | b']' => level = level.saturating_sub(1),
            _ => {}
        }
    }
    max_level
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
