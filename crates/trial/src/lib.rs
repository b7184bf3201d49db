//! The trial: a whole deployment in one process, and a tour of what it does.

pub mod app;
mod bills;
mod deployment;
mod steps;
mod trial_run;
