//! Typed settings, their defaults and their validation.

mod check;
mod gateway_settings;
mod load;
mod settings;

pub use check::check_settings;
pub use gateway_settings::GatewaySettings;
pub use load::DEFAULTS;
pub use load::load_settings;
pub use load::parse_settings;
pub use settings::InstanceSettings;
pub use settings::ListenSettings;
pub use settings::LogFormat;
pub use settings::LogSettings;
pub use settings::MeasuringSettings;
pub use settings::OperatorSettings;
pub use settings::OutcomeSettings;
pub use settings::PeerSettings;
pub use settings::PlatformSettings;
pub use settings::RequestSettings;
pub use settings::Settings;
