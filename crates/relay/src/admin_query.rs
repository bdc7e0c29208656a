//! Parameters in the targets that operators ask for (RFC 3986).

/// Returns the value of the parameter `name` in the query of `target`.
pub(crate) fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().map(|(_, value)| percent_decoded(value))
}

/// Replaces each percent sign and two hexadecimal digits by the byte that they stand for.
pub(crate) fn percent_decoded(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        if *first == b'%'
            && let Some(byte) = encoded_byte(tail)
        {
            decoded.push(byte);
            rest = &tail[2..];
        } else {
            decoded.push(*first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the byte whose two hexadecimal digits `text` starts with.
fn encoded_byte(text: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(text.get(..2)?).ok()?;
    let is_number = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
    is_number.then(|| u8::from_str_radix(digits, 16).ok())?
}
