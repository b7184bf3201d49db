//! Expected work of a request: how long it takes on an upstream, what the upstreams still have to do, and the choice of an upstream by it.

mod contention_model;
mod demand_codec;
mod demand_meter;
mod demand_pool;
mod demand_row;
mod expected_slowness;
mod latency_model;
mod log_normal;
mod output_sizes;
mod pool_hosts;
mod pooled_work;
mod remaining_work;
mod row_codec;
mod row_sum;
mod run_size;
mod run_speed;
mod sent_rows;
mod upstream_pool;
mod upstream_work;
mod work_choice;
mod work_estimate;
mod work_model;

pub use contention_model::{ContentionModel, UsualContention};
pub use demand_codec::{read_demand, write_demand};
pub use demand_meter::{DemandMeter, MAX_WORK};
pub use demand_pool::{DemandPool, MAX_GROUP_ROWS};
pub use demand_row::{
    DEMAND_LIFETIME, DemandKey, DemandRow, MAX_DEMAND_ROWS, reported_rows, service_id,
};
pub use expected_slowness::expected_slowness;
pub use latency_model::LatencyModel;
pub use pool_hosts::{PoolHostChoice, pool_host_count};
pub use pooled_work::{GroupReport, PooledUpstream, PooledWork, REPORT_LIFETIME, member_id};
pub use remaining_work::RemainingWork;
pub use row_codec::{RowError, read_rows, short_id, write_row};
pub use run_size::{RequestSize, RunObservation, plausible_hint};
pub use sent_rows::SentRows;
pub use upstream_work::{
    CONTENTION_BOUNDS, SLOWNESS_LIFETIME, SlownessFigure, UpstreamWorkRow, WorkLoad,
};
pub use work_choice::{
    CompletionTime, WorkCandidate, WorkChoice, WorkPlacement, WorkQuery, WorkRefusal,
};
pub use work_estimate::WorkEstimate;
pub use work_model::{WorkModel, work_class};
