//! Claims of non-idempotent requests, made on the log before their dispatch.

mod claim_desk;

pub use claim_desk::{ClaimDesk, ClaimGrant, ClaimProblem, claim, void};
