//! `gateway`

use tc_protocol::TcError;

use crate::{
    Exit,
    command::{Arguments, Command, Context, Flag, Signature},
    error::CommandError,
    gateway::Start,
};

/// Where the settings are; the platform sets the variable.
const SETTINGS: Flag = Flag::value(
    "--settings",
    "FILE",
    tc_platform_adapter::SETTINGS_VARIABLE,
    "the settings file that the platform wrote",
);
/// Where metrics are served, on the address of the machine.
const METRICS_PORT: Flag = Flag::value(
    "--metrics-port",
    "PORT",
    "TANAGERCROFT_METRICS_PORT",
    "port on which metrics are served (default: none)",
);

/// Whether upstreams that have just started or recovered get few requests at first.
const PACE: Flag = Flag::value(
    "--pace-new-upstreams",
    "on|off",
    "TANAGERCROFT_PACE_NEW_UPSTREAMS",
    "pace upstreams that have just started or recovered (default: off)",
);

pub(crate) const COMMAND: Command = Command {
    words: &["gateway"],
    signature: Signature {
        positionals: &[],
        flags: &[SETTINGS, METRICS_PORT, PACE],
    },
    description: "Run one instance behind the users' platform until it is told to stop",
    help: "
Routes, services and workspaces come from the platform's store, and so does the list of upstreams; the addresses of
this instance come from the settings file. TANAGERCROFT_FLEET_KEY is the shared key between instances.

SIGTERM begins a planned stop that ends within the grace of the settings. SIGHUP checks the settings file again; a file
that cannot be read is reported and changes nothing.",
    // Runs until it is stopped.
    examples: &[],
    exits: &[Exit::Failed],
    run,
};

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let Some((path, _)) = cx.arguments.value(&SETTINGS) else {
        return Err(crate::settings::missing(&SETTINGS).into());
    };
    let start = Start {
        settings: cx.path(path),
        metrics_port: metrics_port(&cx.arguments)?,
        pace_new_upstreams: pace_new_upstreams(&cx.arguments)?,
        keys: crate::settings::fleet_keys(&cx.arguments)?,
    };
    crate::gateway::run(&start)
}

fn metrics_port(arguments: &Arguments) -> Result<Option<u16>, CommandError> {
    let Some((text, origin)) = arguments.value(&METRICS_PORT) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| {
        TcError::Setting {
            name: origin.name().to_owned(),
            problem: format!("{text:?} is not a port"),
            help: "write a number from 1 to 65535".to_owned(),
        }
        .into()
    })
}

fn pace_new_upstreams(arguments: &Arguments) -> Result<bool, CommandError> {
    let Some((text, origin)) = arguments.value(&PACE) else {
        return Ok(false);
    };
    match text {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err(TcError::Setting {
            name: origin.name().to_owned(),
            problem: format!("{text:?} is neither on nor off"),
            help: "write on or off".to_owned(),
        }
        .into()),
    }
}
