//! A load balancer for backend servers whose load changes within milliseconds.
//!
//! `sorrelwickd` is [`app::Daemon`] with a command line, `sorrelwick` the operators' tool.
//! [`route`] handles the requests and picks backend servers with the functions of [`decide`].
//! Instances share membership and configuration through [`peer`], [`member`] and [`catalog`];
//! durable state is in the platform's [`store`].

pub mod app;
pub mod balance;
pub mod board;
pub mod catalog;
pub mod cli;
pub mod clock;
pub mod cold;
pub mod command;
pub mod conf;
pub mod decide;
pub mod errors;
pub mod evacuation;
pub mod gateway;
pub mod r#gen;
pub mod limit;
pub mod listener;
pub mod measure;
pub mod member;
pub mod model;
pub mod operator;
pub mod outcome;
pub mod peer;
pub mod quarantine;
pub mod quota;
pub mod reach;
pub mod retry;
pub mod route;
pub mod starts;
pub mod status;
pub mod store;
pub mod task;
pub mod workspace;
