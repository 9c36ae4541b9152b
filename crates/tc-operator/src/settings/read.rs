//! Reads and checks each setting; all that is wrong is reported together.

use std::{net::SocketAddr, time::Duration};

use log::LevelFilter;
use tc_config::nearest;
use tc_protocol::TcError;

use super::{
    OPERATOR_TOKEN, SERVE_FLAGS, Settings,
    flags::FLEET_KEY,
    flags::{
        ADMIN_LISTEN, DRAIN_LIMIT, FAILURE_DOMAIN, FLEET_ADVERTISE, FLEET_LISTEN, INSTANCE_ID,
        LISTEN, LOG, MAX_BODY, OTLP_ENDPOINT, POLICY, REGION, SEEDS, STORE_CALLS, TRAFFIC_THREADS,
    },
    missing,
};
use crate::{
    Secret,
    command::{ADMIN, Arguments, Flag, Origin, PLATFORM},
    commands::OPERATOR_NAME,
    error::CommandError,
};

/// Help text for an address that cannot be used.
pub(crate) const ADDRESS_HELP: &str =
    "write an IP number and a port, such as 10.0.0.1:8080; names are not looked up";

const VARIABLE_PREFIX: &str = "TANAGERCROFT_";
const DEFAULT_REGION: &str = "default";
const DEFAULT_TRAFFIC_THREADS: u64 = 2;
const MAX_TRAFFIC_THREADS: u64 = 256;
const DEFAULT_DRAIN_LIMIT_MS: u64 = 60_000;
/// A day: a stop that waits longer is one that hangs.
const MAX_DRAIN_LIMIT_MS: u64 = 86_400_000;
const DEFAULT_STORE_CALLS: f64 = 50.0;
const MIN_STORE_CALLS: f64 = 1.0;
/// Rate limits of the platform for the whole fleet.
const MAX_STORE_CALLS: f64 = 2_000.0;
const DEFAULT_MAX_BODY: u64 = 1024 * 1024;
/// Bodies are held in memory while a request runs.
const MAX_MAX_BODY: u64 = 1024 * 1024 * 1024;
const MIN_KEY_BYTES: usize = 16;
const MAX_NAME_LEN: usize = 64;

/// All settings of `serve`.
pub(super) fn settings(arguments: &Arguments) -> Result<Settings, CommandError> {
    let mut reader = Reader {
        arguments,
        errors: Vec::new(),
    };
    reader.unknown_variables();
    let (fleet_listen, fleet_advertise) = reader.fleet_addresses();
    let read = Settings {
        instance_id: reader.name(&INSTANCE_ID, None).into(),
        listen: reader.told_address(&LISTEN),
        fleet_listen,
        fleet_advertise,
        admin_listen: reader.address(&ADMIN_LISTEN),
        failure_domain: reader.name(&FAILURE_DOMAIN, None).into(),
        region: reader.name(&REGION, Some(DEFAULT_REGION)).into(),
        platform: reader.peer_address(&PLATFORM),
        seeds: reader.seeds(),
        traffic_threads: reader.whole(
            &TRAFFIC_THREADS,
            DEFAULT_TRAFFIC_THREADS,
            1..=MAX_TRAFFIC_THREADS,
        ) as usize,
        log: reader.level(),
        otlp_endpoint: reader.endpoint(),
        drain_limit: Duration::from_millis(reader.whole(
            &DRAIN_LIMIT,
            DEFAULT_DRAIN_LIMIT_MS,
            0..=MAX_DRAIN_LIMIT_MS,
        )),
        store_calls_per_s: reader.store_calls(),
        max_body_bytes: reader.whole(&MAX_BODY, DEFAULT_MAX_BODY, 1..=MAX_MAX_BODY) as usize,
        baseline: reader.baseline(),
        fleet_keys: reader.fleet_keys(),
        operator_token: reader.operator_token(),
    };
    reader.distinct_addresses(&read);
    match reader.errors.len() {
        0 => Ok(read),
        1 => Err(reader.errors.remove(0).into()),
        _ => Err(CommandError::Settings {
            errors: reader.errors,
        }),
    }
}

/// Parses an address by IP number.
pub(crate) fn address(text: &str) -> Result<SocketAddr, String> {
    text.trim().parse().map_err(|_| {
        let host = text.rsplit_once(':').map_or(text, |(host, _)| host);
        if text.trim().parse::<std::net::IpAddr>().is_ok() {
            format!("{text:?} has no port")
        } else if host.contains(|c: char| c.is_ascii_alphabetic()) && !host.contains(':') {
            format!("{text:?} is a host name, not an IP number")
        } else {
            format!("{text:?} is not an IP number with a port")
        }
    })
}

/// The token that commands authenticate with.
pub(crate) fn operator_token(arguments: &Arguments) -> Result<Secret, Box<TcError>> {
    let wrong = |problem: &str, help: &str| {
        Box::new(TcError::Setting {
            name: OPERATOR_TOKEN.to_owned(),
            problem: problem.to_owned(),
            help: help.to_owned(),
        })
    };
    let Some(token) = arguments.variable(OPERATOR_TOKEN) else {
        let help = "set it to the token that all instances and operators share";
        return Err(wrong("missing", help));
    };
    // Any other character cannot be sent in a header, so that no operator could ever authenticate.
    if token.bytes().all(|b| b.is_ascii_graphic()) {
        Ok(Secret::from(token))
    } else {
        let help = "use printable ASCII without spaces";
        Err(wrong("has a space or a character that is not ASCII", help))
    }
}

/// The keys between instances, for commands that take nothing else of `serve`'s settings.
pub(crate) fn fleet_keys(arguments: &Arguments) -> Result<Vec<Secret>, CommandError> {
    let mut reader = Reader {
        arguments,
        errors: Vec::new(),
    };
    let keys = reader.fleet_keys();
    if reader.errors.is_empty() {
        Ok(keys)
    } else {
        Err(CommandError::Settings {
            errors: reader.errors,
        })
    }
}

struct Reader<'a> {
    arguments: &'a Arguments,
    errors: Vec<TcError>,
}

/// Stands in for an address that could not be read; never returned, since an error is.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

impl Reader<'_> {
    fn wrong(&mut self, name: &str, problem: impl Into<String>, help: impl Into<String>) {
        let (name, problem, help) = (name.to_owned(), problem.into(), help.into());
        self.errors.push(TcError::Setting {
            name,
            problem,
            help,
        });
    }

    fn required(&mut self, flag: &Flag) -> Option<(String, Origin)> {
        let value = self.arguments.value(flag);
        let value = value.map(|(text, origin)| (text.to_owned(), origin));
        if value.is_none() {
            self.errors.push(missing(flag));
        }
        value
    }

    /// A misspelt variable would otherwise be a setting that silently keeps its default.
    fn unknown_variables(&mut self) {
        let flags = SERVE_FLAGS.iter().chain([&ADMIN, &OPERATOR_NAME]);
        let known: Vec<&str> = flags
            .filter_map(|flag| flag.variable)
            .chain([FLEET_KEY, OPERATOR_TOKEN])
            // Set by the platform for every process it starts; `gateway` reads it.
            .chain([tc_platform_adapter::SETTINGS_VARIABLE])
            .collect();
        let arguments = self.arguments;
        for name in arguments.variable_names() {
            if !name.starts_with(VARIABLE_PREFIX) || known.contains(&name) {
                continue;
            }
            let help = match nearest(name, known.iter().copied()) {
                Some(nearest) => format!("did you mean {nearest}?"),
                None => "unset it".to_owned(),
            };
            self.wrong(name, "there is no such setting", help);
        }
    }

    fn name(&mut self, flag: &Flag, default: Option<&str>) -> String {
        let value = match default {
            Some(default) => match self.arguments.value(flag) {
                Some((text, origin)) => Some((text.to_owned(), origin)),
                None => return default.to_owned(),
            },
            None => self.required(flag),
        };
        let Some((text, origin)) = value else {
            return String::new();
        };
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let starts_well = text.starts_with(|c: char| c.is_ascii_alphanumeric());
        if !starts_well || text.len() > MAX_NAME_LEN || !text.chars().all(plain) {
            let help = "use 1 to 64 letters, digits, `-`, `_` and `.`, the first a letter or digit";
            self.wrong(origin.name(), format!("{text:?} cannot be a name"), help);
        }
        text
    }

    fn address(&mut self, flag: &Flag) -> SocketAddr {
        let Some((text, origin)) = self.required(flag) else {
            return NO_ADDRESS;
        };
        address(&text).unwrap_or_else(|problem| {
            self.wrong(origin.name(), problem, ADDRESS_HELP);
            NO_ADDRESS
        })
    }

    /// An address that others are told, so that they must be able to connect to it.
    fn told_address(&mut self, flag: &Flag) -> SocketAddr {
        let found = self.peer_address(flag);
        if found.ip().is_unspecified() && found != NO_ADDRESS {
            let help = "others are told this address: give the instance's own IP number";
            self.wrong(flag.name, format!("nobody can connect to {found}"), help);
        }
        found
    }

    /// Where to listen for instances, and what they are told. Only what they are told has to be reachable as it is.
    fn fleet_addresses(&mut self) -> (SocketAddr, SocketAddr) {
        if self.arguments.value(&FLEET_ADVERTISE).is_none() {
            let both = self.told_address(&FLEET_LISTEN);
            return (both, both);
        }
        let listen = self.peer_address(&FLEET_LISTEN);
        (listen, self.told_address(&FLEET_ADVERTISE))
    }

    fn peer_address(&mut self, flag: &Flag) -> SocketAddr {
        let errors = self.errors.len();
        let found = self.address(flag);
        if self.errors.len() == errors && found.port() == 0 {
            self.wrong(flag.name, format!("{found} has port 0"), "give the port");
            return NO_ADDRESS;
        }
        found
    }

    fn seeds(&mut self) -> Vec<SocketAddr> {
        let Some((text, origin)) = self.arguments.value(&SEEDS) else {
            return Vec::new();
        };
        let mut seeds = Vec::new();
        for part in text.split(',') {
            match address(part) {
                Ok(seed) => seeds.push(seed),
                Err(problem) => self.wrong(origin.name(), problem, ADDRESS_HELP),
            }
        }
        seeds
    }

    fn whole(&mut self, flag: &Flag, default: u64, range: std::ops::RangeInclusive<u64>) -> u64 {
        let Some((text, origin)) = self.arguments.value(flag) else {
            return default;
        };
        match text.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let help = format!(
                    "use a whole number from {} to {}",
                    range.start(),
                    range.end()
                );
                self.wrong(
                    origin.name(),
                    format!("{text:?} is out of range or no number"),
                    help,
                );
                default
            }
        }
    }

    fn store_calls(&mut self) -> f64 {
        let Some((text, origin)) = self.arguments.value(&STORE_CALLS) else {
            return DEFAULT_STORE_CALLS;
        };
        match text.parse::<f64>() {
            Ok(rate) if (MIN_STORE_CALLS..=MAX_STORE_CALLS).contains(&rate) => rate,
            _ => {
                let help = format!("use a number from {MIN_STORE_CALLS} to {MAX_STORE_CALLS}");
                self.wrong(
                    origin.name(),
                    format!("{text:?} is out of range or no number"),
                    help,
                );
                DEFAULT_STORE_CALLS
            }
        }
    }

    fn level(&mut self) -> LevelFilter {
        let Some((text, origin)) = self.arguments.value(&LOG) else {
            return LevelFilter::Info;
        };
        text.parse().unwrap_or_else(|_| {
            let help = "use off, error, warn, info, debug or trace";
            self.wrong(origin.name(), format!("{text:?} is not a log level"), help);
            LevelFilter::Info
        })
    }

    fn endpoint(&mut self) -> Option<String> {
        let (text, origin) = self.arguments.value(&OTLP_ENDPOINT)?;
        let uri = text.parse::<http::Uri>().ok();
        let is_usable = uri.is_some_and(|uri| {
            let host = uri.host().unwrap_or_default().trim_matches(['[', ']']);
            uri.scheme_str() == Some("http") && host.parse::<std::net::IpAddr>().is_ok()
        });
        if !is_usable {
            let help = "use http:// with an IP number and a port, such as http://10.0.0.9:4317";
            self.wrong(origin.name(), format!("{text:?} cannot be used"), help);
        }
        Some(text.to_owned())
    }

    fn baseline(&mut self) -> bool {
        let Some((text, origin)) = self.arguments.value(&POLICY) else {
            return false;
        };
        match text {
            "home" => false,
            "baseline" => true,
            _ => {
                let problem = format!("{text:?} is not a policy");
                self.wrong(origin.name(), problem, "use home or baseline");
                false
            }
        }
    }

    fn fleet_keys(&mut self) -> Vec<Secret> {
        let Some(text) = self.arguments.variable(FLEET_KEY) else {
            let help = format!(
                "set {FLEET_KEY} to a secret of {MIN_KEY_BYTES} bytes or more, the same on all instances"
            );
            self.wrong(FLEET_KEY, "missing", help);
            return Vec::new();
        };
        let keys: Vec<&str> = text.split(',').map(str::trim).collect();
        // The position tells which key is wrong without showing it.
        for (index, key) in keys.iter().enumerate() {
            if key.len() < MIN_KEY_BYTES {
                let problem = format!("key {} has {} bytes", index + 1, key.len());
                let help = format!(
                    "use {MIN_KEY_BYTES} bytes or more for each of the keys, separated by commas"
                );
                self.wrong(FLEET_KEY, problem, help);
            }
        }
        keys.into_iter().map(Secret::from).collect()
    }

    fn operator_token(&mut self) -> Secret {
        operator_token(self.arguments).unwrap_or_else(|error| {
            self.errors.push(*error);
            Secret::from("")
        })
    }

    fn distinct_addresses(&mut self, settings: &Settings) {
        let mut listens = vec![
            (LISTEN, settings.listen),
            (FLEET_LISTEN, settings.fleet_listen),
            (ADMIN_LISTEN, settings.admin_listen),
        ];
        if settings.fleet_advertise != settings.fleet_listen {
            listens.push((FLEET_ADVERTISE, settings.fleet_advertise));
        }
        for (i, (flag, address)) in listens.iter().enumerate() {
            let same = listens[..i].iter().find(|(_, a)| a == address);
            if let Some((other, _)) = same
                && address.port() != 0
            {
                let problem = format!("{address} is the address of {} too", other.name);
                self.wrong(flag.name, problem, "give each its own port");
            }
        }
    }
}
