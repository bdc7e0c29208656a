//! `lagoonshore-settings` reads the settings of the daemon from YAML.

pub mod error;
pub mod node_settings;

pub use error::{Result, SettingsError};
pub use node_settings::{ControlMode, LogFormat, NodeSettings};
