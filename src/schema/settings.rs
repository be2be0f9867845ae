//! Generated from `schema/settings.json` by `cargo run -p schema-gen`; do not edit.

#![allow(clippy::all, missing_docs)]

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///Addresses of the three faces.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    ///IP address and port for the administration API.
    pub admin: crate::model::Address,
    ///IP address and port for callers.
    pub callers: crate::model::Address,
    ///IP address and port for other entry processes.
    pub peers: crate::model::Address,
}
impl ::std::convert::From<&ListenSettings> for ListenSettings {
    fn from(value: &ListenSettings) -> Self {
        value.clone()
    }
}
///Format of log lines.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum LogFormat {
    #[serde(rename = "human")]
    Human,
    #[serde(rename = "json")]
    Json,
}
impl ::std::convert::From<&Self> for LogFormat {
    fn from(value: &LogFormat) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for LogFormat {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Human => f.write_str("human"),
            Self::Json => f.write_str("json"),
        }
    }
}
impl ::std::str::FromStr for LogFormat {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "human" => Ok(Self::Human),
            "json" => Ok(Self::Json),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LogFormat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for LogFormat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LogFormat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Log output.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    #[serde(default = "defaults::log_settings_format")]
    pub format: LogFormat,
    ///Filter, such as info or sapphirecroft=debug.
    #[serde(default = "defaults::log_settings_level")]
    pub level: ::std::string::String,
}
impl ::std::convert::From<&LogSettings> for LogSettings {
    fn from(value: &LogSettings) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for LogSettings {
    fn default() -> Self {
        Self {
            format: defaults::log_settings_format(),
            level: defaults::log_settings_level(),
        }
    }
}
///Where this entry process runs.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    pub rack: crate::model::RackId,
    pub region: crate::model::RegionId,
    pub vm: crate::model::VmId,
    pub zone: crate::model::ZoneId,
}
impl ::std::convert::From<&NodeSettings> for NodeSettings {
    fn from(value: &NodeSettings) -> Self {
        value.clone()
    }
}
///Where the platform's services are.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    ///IP address and port of the key-value service.
    pub store: crate::model::Address,
    ///Timeout of one call to the key-value service, in milliseconds.
    #[serde(default = "defaults::platform_settings_store_timeout_ms")]
    pub store_timeout_ms: crate::model::Millis,
    ///IP address and port of the VM list.
    pub vms: crate::model::Address,
    ///Interval between reads of the VM list, in milliseconds.
    #[serde(default = "defaults::platform_settings_vms_poll_ms")]
    pub vms_poll_ms: crate::model::Millis,
}
impl ::std::convert::From<&PlatformSettings> for PlatformSettings {
    fn from(value: &PlatformSettings) -> Self {
        value.clone()
    }
}
///Settings of one entry process.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub listen: ListenSettings,
    #[serde(default = "defaults::settings_log")]
    pub log: LogSettings,
    pub node: NodeSettings,
    pub platform: PlatformSettings,
    pub trust: TrustSettings,
}
impl ::std::convert::From<&Settings> for Settings {
    fn from(value: &Settings) -> Self {
        value.clone()
    }
}
///Whose bundles this process accepts.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TrustSettings {
    ///Public keys that may sign the key ring, in hexadecimal.
    pub root_keys: ::std::vec::Vec<crate::model::PublicKey>,
    ///Site whose bundle this process runs.
    pub site: crate::model::SiteId,
}
impl ::std::convert::From<&TrustSettings> for TrustSettings {
    fn from(value: &TrustSettings) -> Self {
        value.clone()
    }
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn log_settings_format() -> super::LogFormat {
        super::LogFormat::Human
    }
    pub(super) fn log_settings_level() -> ::std::string::String {
        "info".to_string()
    }
    pub(super) fn platform_settings_store_timeout_ms() -> crate::model::Millis {
        ::serde_json::from_str::<crate::model::Millis>("500").unwrap()
    }
    pub(super) fn platform_settings_vms_poll_ms() -> crate::model::Millis {
        ::serde_json::from_str::<crate::model::Millis>("1000").unwrap()
    }
    pub(super) fn settings_log() -> super::LogSettings {
        super::LogSettings {
            format: super::LogFormat::Human,
            level: "info".to_string(),
        }
    }
}
