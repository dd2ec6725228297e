//! Versions in effect, and how long ago the platform was last known to publish them.

use crate::time::Timestamp;

/// Returns an age in ms, rounded up. If it were rounded down at each instance that passes it on, a
/// list would look newer than it is.
pub(super) fn age_ms(now: Timestamp, at: Timestamp) -> u64 {
    now.since(at).as_micros().div_ceil(1000) as u64
}

value_type! { copy
    /// Value that the platform publishes in numbered versions.
    pub enum Subject {
        /// Configuration text.
        Config,
        /// Instance list.
        List,
    }
}

impl Subject {
    /// All subjects.
    pub const ALL: [Self; 2] = [Self::Config, Self::List];

    /// Gets the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::List => "list",
        }
    }
}

value_type! { copy
    /// Version of one subject as reported to peers.
    #[derive(Default)]
    pub struct SubjectVersion {
        /// Version in effect, 0 for none.
        pub version: u64,
        /// Time in ms since the platform was last known to publish the version; `None` if
        /// unknown.
        pub age_ms: Option<u64>,
    }
}

value_type! { copy
    /// Versions in effect at an instance.
    #[derive(Default)]
    pub struct VersionStatus {
        /// Version of the configuration.
        pub config: SubjectVersion,
        /// Version of the instance list.
        pub list: SubjectVersion,
    }
}

impl VersionStatus {
    /// Gets the version of a subject.
    pub fn get(&self, subject: Subject) -> SubjectVersion {
        match subject {
            Subject::Config => self.config,
            Subject::List => self.list,
        }
    }
}

/// Versions in effect at this instance, with times of the local clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalVersions {
    /// Configuration version, 0 for none.
    pub config: u64,
    /// Latest time at which the platform is known to have published `config`; `None` if unknown.
    pub config_confirmed: Option<Timestamp>,
    /// List version, 0 for none.
    pub list: u64,
    /// Latest time at which the platform is known to have published `list`; `None` if unknown.
    pub list_confirmed: Option<Timestamp>,
}

impl LocalVersions {
    /// Converts the times to ages, which peers with other clocks can use.
    pub fn status(&self, now: Timestamp) -> VersionStatus {
        let age = |at: Option<Timestamp>| at.map(|at| age_ms(now, at));
        VersionStatus {
            config: SubjectVersion { version: self.config, age_ms: age(self.config_confirmed) },
            list: SubjectVersion { version: self.list, age_ms: age(self.list_confirmed) },
        }
    }
}
