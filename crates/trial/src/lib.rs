//! The trial: a complete deployment in one process, and a guided tour of its features.

pub mod app;
pub mod bills;
pub mod deployment;
pub mod steps;
pub mod trial_run;
