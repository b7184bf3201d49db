//! Runs of requests: placement, sends, and the passing on of answers.

mod answer_delivery;
mod event_pump;
mod event_splitter;
mod relay_run;
mod request_record;
mod run_evidence;
mod run_placement;
mod run_plan;
mod run_send;
mod run_settle;
mod session_hold;
mod upstream_send;

pub use relay_run::RelayRun;
