//! The life cycle of a node, from its start to a planned stop.

pub mod life_cycle;
pub mod planned_stop;
