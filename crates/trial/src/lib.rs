//! The trial: a whole deployment in one process, and a tour of what it does.

pub mod app;
pub mod bills;
pub mod deployment;
pub mod steps;
pub mod trial_run;
