//! Generated from `schema/bundle.json` by `cargo run -p schema-gen`; do not edit.

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
///A class of batch work.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BatchClassSpec {
    ///Whether running tasks may be evicted for services.
    #[serde(default = "defaults::default_bool::<true>")]
    pub evictable: bool,
    ///Wait after which a task goes before higher priorities, in milliseconds.
    pub max_wait_ms: crate::model::Millis,
    ///Order of start; zero is first.
    pub priority: u32,
}
impl ::std::convert::From<&BatchClassSpec> for BatchClassSpec {
    fn from(value: &BatchClassSpec) -> Self {
        value.clone()
    }
}
///Rules for all batch jobs.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BatchPolicy {
    ///Time for which finished jobs can be listed, in seconds.
    #[serde(default = "defaults::default_u64::<u32, 86400>")]
    pub finished_retention_s: u32,
    ///Failures after which a task is parked.
    #[serde(default = "defaults::default_u64::<u32, 4>")]
    pub max_attempts: u32,
    ///Most tasks in a job.
    #[serde(default = "defaults::default_u64::<u32, 10000>")]
    pub max_tasks_per_job: u32,
}
impl ::std::convert::From<&BatchPolicy> for BatchPolicy {
    fn from(value: &BatchPolicy) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for BatchPolicy {
    fn default() -> Self {
        Self {
            finished_retention_s: defaults::default_u64::<u32, 86400>(),
            max_attempts: defaults::default_u64::<u32, 4>(),
            max_tasks_per_job: defaults::default_u64::<u32, 10000>(),
        }
    }
}
///A configuration bundle: everything that operators decide.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    pub batch: BatchPolicy,
    ///Batch classes by name.
    pub batch_class: ::std::collections::BTreeMap<
        crate::model::ClassName,
        BatchClassSpec,
    >,
    pub bundle: BundleHead,
    ///Request classes by name.
    pub class: ::std::collections::BTreeMap<crate::model::ClassName, ClassSpec>,
    pub eviction: EvictionPolicy,
    pub interference: InterferencePolicy,
    ///Services by name.
    pub service: ::std::collections::BTreeMap<crate::model::ServiceId, ServiceSpec>,
    ///Teams by name.
    pub team: ::std::collections::BTreeMap<crate::model::TeamId, TeamSpec>,
    pub weights: Weights,
}
impl ::std::convert::From<&Bundle> for Bundle {
    fn from(value: &Bundle) -> Self {
        value.clone()
    }
}
///What the bundle is for.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BundleHead {
    ///Reason for the change, for reviewers.
    pub note: ::std::string::String,
    pub site: crate::model::SiteId,
}
impl ::std::convert::From<&BundleHead> for BundleHead {
    fn from(value: &BundleHead) -> Self {
        value.clone()
    }
}
///A class of request urgency.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    ///Longest wait in a queue, in milliseconds.
    pub max_wait_ms: crate::model::Millis,
    ///Guaranteed share of a service's capacity, in thousandths.
    pub share: crate::model::Permille,
    ///Order of urgency; zero is the most urgent.
    pub urgency: u32,
}
impl ::std::convert::From<&ClassSpec> for ClassSpec {
    fn from(value: &ClassSpec) -> Self {
        value.clone()
    }
}
///Limits of throttling and eviction.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EvictionPolicy {
    ///Evictions allowed at once.
    #[serde(default = "defaults::default_u64::<u32, 10>")]
    pub burst: u32,
    ///Evictions allowed per hour.
    #[serde(default = "defaults::default_u64::<u32, 60>")]
    pub per_hour: u32,
    ///Processor share of a throttled task, in thousandths.
    #[serde(default = "defaults::eviction_policy_throttle_to")]
    pub throttle_to: crate::model::Permille,
    ///Time that throttling gets before eviction, in milliseconds.
    #[serde(default = "defaults::eviction_policy_throttle_wait_ms")]
    pub throttle_wait_ms: crate::model::Millis,
}
impl ::std::convert::From<&EvictionPolicy> for EvictionPolicy {
    fn from(value: &EvictionPolicy) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for EvictionPolicy {
    fn default() -> Self {
        Self {
            burst: defaults::default_u64::<u32, 10>(),
            per_hour: defaults::default_u64::<u32, 60>(),
            throttle_to: defaults::eviction_policy_throttle_to(),
            throttle_wait_ms: defaults::eviction_policy_throttle_wait_ms(),
        }
    }
}
///How interference estimates are learned and used.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InterferencePolicy {
    ///Deviations added to the mean when placing, in thousandths.
    #[serde(default = "defaults::interference_policy_deviations")]
    pub deviations: crate::model::Permille,
    ///Age at which a measurement counts half, in seconds.
    #[serde(default = "defaults::default_u64::<u32, 1800>")]
    pub half_life_s: u32,
    ///Service slowdown that calls for throttling; 1000 is full speed.
    #[serde(default = "defaults::interference_policy_tolerated_slowdown")]
    pub tolerated_slowdown: crate::model::Permille,
}
impl ::std::convert::From<&InterferencePolicy> for InterferencePolicy {
    fn from(value: &InterferencePolicy) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for InterferencePolicy {
    fn default() -> Self {
        Self {
            deviations: defaults::interference_policy_deviations(),
            half_life_s: defaults::default_u64::<u32, 1800>(),
            tolerated_slowdown: defaults::interference_policy_tolerated_slowdown(),
        }
    }
}
///Limits of a service.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    ///Open connections per endpoint, over all entry processes.
    #[serde(default = "defaults::default_u64::<u32, 64>")]
    pub connections_per_endpoint: u32,
    ///Class of requests that name none.
    pub default_class: crate::model::ClassName,
    ///Deadline of requests that name none, in milliseconds.
    pub default_deadline_ms: crate::model::Millis,
    ///Whether slow idempotent requests are hedged within the retry budget.
    #[serde(default)]
    pub hedge: bool,
    ///Longest deadline that a caller may ask for, in milliseconds; slots of a removed member are free again after 30 s.
    pub max_deadline_ms: crate::model::Millis,
    ///Most endpoints that may be ejected at once, in thousandths.
    #[serde(default = "defaults::service_spec_max_ejected_permille")]
    pub max_ejected_permille: crate::model::Permille,
    ///Retries and hedges allowed per thousand requests.
    #[serde(default = "defaults::service_spec_retry_budget_permille")]
    pub retry_budget_permille: crate::model::Permille,
    ///Requests in progress per endpoint, over all entry processes.
    #[serde(default = "defaults::default_u64::<u32, 8>")]
    pub slots_per_endpoint: u32,
}
impl ::std::convert::From<&ServiceSpec> for ServiceSpec {
    fn from(value: &ServiceSpec) -> Self {
        value.clone()
    }
}
///Shares and quotas of a team.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    ///Most accelerators of running batch tasks.
    #[serde(default = "defaults::team_spec_accelerator_quota")]
    pub accelerator_quota: crate::model::Accelerators,
    ///Most processor time of running batch tasks, in thousandths of a core.
    pub cpu_quota_millicores: crate::model::Millicores,
    ///Most memory of running batch tasks, in MiB.
    pub memory_quota_mebibytes: crate::model::Mebibytes,
    ///Weight among the teams that compete for the same class.
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub share: u32,
}
impl ::std::convert::From<&TeamSpec> for TeamSpec {
    fn from(value: &TeamSpec) -> Self {
        value.clone()
    }
}
///What the site weighs most; the two add up to 1000.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    ///Weight of batch throughput, in thousandths.
    pub batch_throughput: crate::model::Permille,
    ///Weight of tail latency, in thousandths.
    pub tail_latency: crate::model::Permille,
}
impl ::std::convert::From<&Weights> for Weights {
    fn from(value: &Weights) -> Self {
        value.clone()
    }
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_bool<const V: bool>() -> bool {
        V
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn eviction_policy_throttle_to() -> crate::model::Permille {
        ::serde_json::from_str::<crate::model::Permille>("500").unwrap()
    }
    pub(super) fn eviction_policy_throttle_wait_ms() -> crate::model::Millis {
        ::serde_json::from_str::<crate::model::Millis>("10000").unwrap()
    }
    pub(super) fn interference_policy_deviations() -> crate::model::Permille {
        ::serde_json::from_str::<crate::model::Permille>("1000").unwrap()
    }
    pub(super) fn interference_policy_tolerated_slowdown() -> crate::model::Permille {
        ::serde_json::from_str::<crate::model::Permille>("1300").unwrap()
    }
    pub(super) fn service_spec_max_ejected_permille() -> crate::model::Permille {
        ::serde_json::from_str::<crate::model::Permille>("500").unwrap()
    }
    pub(super) fn service_spec_retry_budget_permille() -> crate::model::Permille {
        ::serde_json::from_str::<crate::model::Permille>("100").unwrap()
    }
    pub(super) fn team_spec_accelerator_quota() -> crate::model::Accelerators {
        ::serde_json::from_str::<crate::model::Accelerators>("0").unwrap()
    }
}
