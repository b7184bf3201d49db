//! Runs requests on upstreams, from the checks and the claim through dispatches and retries to the bill.

mod attempt_log;
mod cascade_run;
mod chat_forwarder;
mod chat_run;
pub(crate) mod dispatch_checks;
mod dispatch_failure;
mod engine_call;
mod engine_stream;
mod run_answer;
mod run_bill;
mod service_call;
mod service_end;
mod service_run;
mod stage_run;

pub use chat_run::ChatRun;
pub use dispatch_failure::DispatchFailure;
pub use engine_stream::is_end_marker;
pub use run_answer::{EventSender, RunAnswer, RunHead, RunSender, ServiceAnswer};
pub use service_run::{ServiceCall, ServiceRun};
