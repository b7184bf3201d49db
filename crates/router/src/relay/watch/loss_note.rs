//! Log lines at the loss and the return of something that the relay depends on.

use ferry_platform::store::StoreError;

/// Whether a part of the store is lost; writes one line when that changes.
#[derive(Debug)]
pub struct LossNote {
    /// Message at the loss, followed by the error.
    loss: &'static str,
    /// Message at the return.
    regain: &'static str,
    lost: bool,
}

impl LossNote {
    /// A note of something that is there.
    pub fn new(loss: &'static str, regain: &'static str) -> Self {
        Self {
            loss,
            regain,
            lost: false,
        }
    }

    /// Whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Takes in that a call failed.
    pub fn lose(&mut self, error: &StoreError) {
        if !std::mem::replace(&mut self.lost, true) {
            spdlog::warn!("{}: {}", self.loss, error);
        }
    }

    /// Takes in that a call worked.
    pub fn regain(&mut self) {
        if std::mem::take(&mut self.lost) {
            spdlog::info!("{}", self.regain);
        }
    }
}
