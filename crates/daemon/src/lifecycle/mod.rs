//! The lifecycle of a node, from its start to a planned stop.

pub mod node_lifecycle;
pub mod planned_stop;
pub mod upstream_probe;
