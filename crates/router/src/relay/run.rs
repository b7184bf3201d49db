//! Runs of requests: placement, sends, and the passing on of answers.

mod answer_delivery;
mod event_pump;
mod event_splitter;
mod relay_run;
mod request_record;
mod run_placement;
mod upstream_send;

pub use relay_run::RelayRun;
