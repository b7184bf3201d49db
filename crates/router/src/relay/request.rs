//! Reading and validation of callers' requests, and the refusals that the relay itself answers with.

mod ingress;
mod relay_refusal;
mod relay_request;

pub use ingress::{check_state, handle};
pub use relay_refusal::{RefusalReason, RelayRefusal};
pub use relay_request::RelayRequest;
