//! Evacuated availability zones: which zones may get no requests, by the operator's records and the eras of the store.

mod evacuation_batch;
mod evacuation_book;
mod evacuation_event;
mod kept_evacuation;
mod recent_evacuation;

pub use evacuation_batch::{EvacuationBatch, EvacuationChange, EvacuationRecord};
pub use evacuation_book::{END_MEMORY, EvacuationBook, KEPT_TIME};
pub use evacuation_event::{EndCause, EvacuationEvent};
pub use kept_evacuation::KeptEvacuation;
pub use recent_evacuation::RecentEvacuation;
