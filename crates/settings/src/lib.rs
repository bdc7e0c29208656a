//! `lagoonshore-settings` reads the settings of nodes from YAML.

pub mod error;
pub mod node_settings;
pub mod relay_settings;
pub mod settings_text;
pub mod value_check;

pub use error::{Result, SettingsError};
pub use node_settings::{ControlMode, LogFormat, LogLevel, NodeSettings};
pub use relay_settings::RelaySettings;
