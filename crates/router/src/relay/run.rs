//! Runs of requests: choice of the upstream, sends, retries, and forwarding of answers.

mod answer_delivery;
mod body_type;
mod end_judgement;
mod event_forwarder;
mod fair_share;
mod planned_send;
mod relay_run;
mod request_record;
mod run_cascade;
mod run_evidence;
mod run_explanation;
mod run_placement;
mod run_plan;
mod run_retry;
mod run_send;
mod run_start;
mod session_hold;
mod silence_meter;
mod upstream_exchange;
mod upstream_filter;
mod upstream_send;
mod work_placement;

pub use relay_run::RelayRun;
pub use run_explanation::explain_placement;
