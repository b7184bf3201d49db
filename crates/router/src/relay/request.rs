//! Requests as they come in, and refusals.

mod ingress;
mod relay_refusal;
mod relay_request;

pub use ingress::handle;
pub use relay_refusal::{RefusalReason, RelayRefusal};
pub use relay_request::RelayRequest;
