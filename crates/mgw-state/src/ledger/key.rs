//! The time that an idempotency key carries.

use mgw_world::{KeyName, UnixMillis};

const UUID_CHARS: usize = 36;
const DASHES: [usize; 4] = [8, 13, 18, 23];
const VERSION_AT: usize = 14;
const VARIANT_AT: usize = 19;

/// The time at which a key was made, for a key that is a UUID of version 7; none for others.
pub(super) fn read_key_time(key: &KeyName) -> Option<UnixMillis> {
    let bytes = key.as_str().as_bytes();
    if bytes.len() != UUID_CHARS || !is_uuid_text(bytes) {
        return None;
    }
    let is_version_7 = bytes[VERSION_AT] == b'7';
    let is_standard = matches!(
        bytes[VARIANT_AT].to_ascii_lowercase(),
        b'8' | b'9' | b'a' | b'b'
    );
    if !is_version_7 || !is_standard {
        return None;
    }
    let digits = format!("{}{}", &key.as_str()[..8], &key.as_str()[9..13]);
    u64::from_str_radix(&digits, 16).ok().map(UnixMillis)
}

fn is_uuid_text(bytes: &[u8]) -> bool {
    bytes.iter().enumerate().all(|(at, byte)| {
        if DASHES.contains(&at) {
            *byte == b'-'
        } else {
            byte.is_ascii_hexdigit()
        }
    })
}
