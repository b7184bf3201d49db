//! Roll-outs that this relay knows of.

use std::collections::HashMap;

use ferry_decisions::names::{ServiceName, VersionName};
use ferry_decisions::rollout::RolloutOrder;
use ferry_decisions::time::MonotonicTime;
use parking_lot::Mutex;

/// Roll-outs by service.
#[derive(Debug, Default)]
pub struct RolloutDesk {
    orders: Mutex<HashMap<ServiceName, RolloutOrder>>,
}

impl RolloutDesk {
    /// Takes in an order of the operator.
    pub fn take_order(&self, order: RolloutOrder, _now: MonotonicTime) {
        spdlog::info!("roll-out ordered", kv: {
            service = order.service.as_str(),
            target = order.target.as_str(),
            duration_ms = order.duration.as_millis() as u64,
        });
        self.orders.lock().insert(order.service.clone(), order);
    }

    /// Takes in that the order of `service` was taken back.
    pub fn drop_order(&self, service: &ServiceName) {
        self.orders.lock().remove(service);
    }

    /// The version that gets no requests of `service`, if there is one.
    pub fn excluded(&self, service: &ServiceName) -> Option<VersionName> {
        let orders = self.orders.lock();
        orders.get(service).map(|order| order.target.clone())
    }
}
