//! Escapes texts that become parts of a URI.

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::PercentEncode;
use percent_encoding::utf8_percent_encode;

/// All characters but those that stand for themselves in a path and in a query, and the slash, which
/// divides the parts of a key.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~').remove(b'/');

/// Escapes a key or id that becomes a part of a path or a value in a query.
///
/// Other writers choose keys of their own. Unescaped, `&` or `#` would end one, and a blank would make
/// the URI invalid.
#[must_use]
pub fn uri_escape(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, ESCAPED)
}
