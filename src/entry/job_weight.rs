//! How much memory a submitted job takes while it is decoded and stored.

/// Memory of a step: its decoded forms, its encoded form, and a copy for the leader.
const STEP_BYTES: usize = 1024;

/// Copies of the texts of a body that exist at once.
const TEXT_COPIES: usize = 4;

/// Returns an upper estimate of the bytes that a body takes besides itself. Each step begins with a
/// brace; a short step weighs about a hundred times its text.
pub(super) fn job_weight(body: &[u8]) -> usize {
    let steps = body.iter().filter(|byte| **byte == b'{').count();
    steps * STEP_BYTES + body.len() * TEXT_COPIES
}
