//! A hash of names that is the same in every process.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of an endpoint's name. All gateways compute the same hash, so that all of
/// them order the endpoints alike.
pub fn stable_hash(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
