//! Settings of `tanagercroft serve`, from flags and environment variables.
//!
//! A flag wins over its variable. Secrets come from variables only: a command line is shown to every user of the
//! machine by its process list.

mod flags;
mod read;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use log::LevelFilter;
use tc_protocol::{FailureDomain, InstanceId, Region, TcError};

use crate::{
    Secret,
    command::{Arguments, Flag, Signature},
    error::CommandError,
};

pub(crate) use flags::{OPERATOR_TOKEN, SERVE_FLAGS};
pub(crate) use read::{ADDRESS_HELP, address, fleet_keys, operator_token};

/// Everything an instance learns at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance, unique in the fleet.
    pub instance_id: InstanceId,
    /// Where callers connect; told to them.
    pub listen: SocketAddr,
    /// Where other instances connect, by TCP and UDP; calls to them leave from its IP number.
    pub fleet_listen: SocketAddr,
    /// Address that is announced to other instances.
    pub fleet_advertise: SocketAddr,
    /// Where operators connect.
    pub admin_listen: SocketAddr,
    /// Failure domain of this instance.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Fleet addresses of instances to ask first when the platform cannot be reached.
    pub seeds: Vec<SocketAddr>,
    /// Threads that carry traffic, beside the one for control.
    pub traffic_threads: usize,
    /// Least severe log level that is written.
    pub log: LevelFilter,
    /// Where traces are sent; none are without it.
    pub otlp_endpoint: Option<String>,
    /// Longest time a planned stop waits for requests to end.
    pub drain_limit: Duration,
    /// Most calls a second to the platform in the long run.
    pub store_calls_per_s: f64,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Whether to decide by the baseline policy that experiments compare with.
    pub baseline: bool,
    /// Keys between instances: the first signs, all verify.
    pub fleet_keys: Vec<Secret>,
    /// Token with which operators authenticate.
    pub operator_token: Secret,
}

impl Settings {
    /// Settings from the words after `serve` and the environment.
    ///
    /// # Errors
    /// Every setting that is missing, unknown or wrong, by name.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use tc_operator::Settings;
    /// let error = Settings::from_words(&[], BTreeMap::new()).unwrap_err();
    /// assert!(format!("{error:?}").contains("--instance-id"));
    /// ```
    pub fn from_words(
        words: &[String],
        variables: BTreeMap<String, String>,
    ) -> Result<Self, miette::Report> {
        let signature = Signature {
            positionals: &[],
            flags: SERVE_FLAGS,
        };
        let arguments = Arguments::parse("serve", &signature, words, variables)?;
        Ok(Self::from_arguments(&arguments)?)
    }

    /// Settings from parsed arguments.
    pub(crate) fn from_arguments(arguments: &Arguments) -> Result<Self, CommandError> {
        read::settings(arguments)
    }
}

/// The error for a setting that is not given.
pub(crate) fn missing(flag: &Flag) -> TcError {
    TcError::Setting {
        name: flag.name.to_owned(),
        problem: "missing".to_owned(),
        help: format!("give {}: {}", flag.how(), flag.help),
    }
}
