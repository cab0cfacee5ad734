//! Reads the creation time that an idempotency key carries.

use mgw_world::{KeyName, UnixMillis};

const UUID_LENGTH: usize = 36;
const DASH_POSITIONS: [usize; 4] = [8, 13, 18, 23];
const VERSION_POSITION: usize = 14;
const VARIANT_POSITION: usize = 19;

/// The creation time of a key that is a version 7 UUID; none for other keys.
pub(super) fn read_key_time(key: &KeyName) -> Option<UnixMillis> {
    let bytes = key.as_str().as_bytes();
    if bytes.len() != UUID_LENGTH || !has_uuid_format(bytes) {
        return None;
    }
    let is_version_7 = bytes[VERSION_POSITION] == b'7';
    let is_standard_variant = matches!(
        bytes[VARIANT_POSITION].to_ascii_lowercase(),
        b'8' | b'9' | b'a' | b'b'
    );
    if !is_version_7 || !is_standard_variant {
        return None;
    }
    let timestamp_digits = format!("{}{}", &key.as_str()[..8], &key.as_str()[9..13]);
    u64::from_str_radix(&timestamp_digits, 16)
        .ok()
        .map(UnixMillis)
}

fn has_uuid_format(bytes: &[u8]) -> bool {
    bytes.iter().enumerate().all(|(position, byte)| {
        if DASH_POSITIONS.contains(&position) {
            *byte == b'-'
        } else {
            byte.is_ascii_hexdigit()
        }
    })
}
