//! Helpers that several tests share.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

const SEED_DEFAULT: u64 = 0x5eed_2026;
/// Bytes of input per case.
const SIZES: [u64; 4] = [64, 256, 1_024, 8_192];

/// Runs a property on `cases` inputs, the same on every run; `SORRELWICK_SEED` (decimal) gives
/// others. A failing case prints the seed that repeats it.
pub fn property(cases: u64, mut holds: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    let given = std::env::var("SORRELWICK_SEED").ok().and_then(|text| text.parse().ok());
    let base: u64 = given.unwrap_or(SEED_DEFAULT);
    for case in 0..cases {
        let mixed = (base + case).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let size = SIZES[usize::try_from(case).unwrap_or(0) % SIZES.len()];
        arbtest(|u| holds(u)).seed(mixed << 32 | size).run();
    }
}
