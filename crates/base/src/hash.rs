//! A hash whose values are the same on every node and in every build.

/// Offset basis of the 64-bit FNV-1a hash.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const PRIME: u64 = 0x0100_0000_01b3;

/// Hashes the bytes of `parts` and the boundaries between them.
///
/// Moving a byte from one part to the next changes the result.
#[must_use]
pub fn digest(parts: &[&[u8]]) -> u64 {
    let mut state = OFFSET_BASIS;
    for part in parts {
        for byte in *part {
            state = (state ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
        state = (state ^ 0xff).wrapping_mul(PRIME);
    }
    mix(state)
}

/// Mixes the bits of `value`, so that similar inputs give unrelated outputs.
#[must_use]
pub fn mix(value: u64) -> u64 {
    let mut state = value;
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
