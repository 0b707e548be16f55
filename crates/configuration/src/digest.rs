//! The digest by which a configuration is known again.

/// Where FNV-1a of 128 bits begins; from its definition.
const OFFSET_BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
/// By what FNV-1a of 128 bits multiplies; from its definition.
const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// The FNV-1a digest, 128 bits, of the raw bytes of a configuration. It tells apart what operators send by chance or
/// mistake; it does not withstand somebody who builds collisions, and must not be used to authenticate.
pub fn digest(body: &[u8]) -> u128 {
    body.iter().fold(OFFSET_BASIS, |sum, byte| (sum ^ u128::from(*byte)).wrapping_mul(PRIME))
}
