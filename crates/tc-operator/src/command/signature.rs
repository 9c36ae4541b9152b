//! Arguments of a command.

use super::BINARY;

/// Arguments of a command.
pub(crate) struct Signature {
    /// Names of the arguments without a flag, all required.
    pub(crate) positionals: &'static [&'static str],
    pub(crate) flags: &'static [Flag],
}

/// An argument that starts with `--`.
#[derive(Clone, Copy)]
pub(crate) struct Flag {
    /// With its dashes.
    pub(crate) name: &'static str,
    /// Name of its value in the help; `None` for a switch.
    pub(crate) value: Option<&'static str>,
    /// The environment variable that gives the value when the flag is absent.
    pub(crate) variable: Option<&'static str>,
    pub(crate) help: &'static str,
}

impl Flag {
    /// A flag without a value.
    pub(crate) const fn switch(name: &'static str, help: &'static str) -> Self {
        Self {
            name,
            value: None,
            variable: None,
            help,
        }
    }

    /// A flag with a value and the variable that stands in for it.
    pub(crate) const fn value(
        name: &'static str,
        value: &'static str,
        variable: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            name,
            value: Some(value),
            variable: Some(variable),
            help,
        }
    }

    /// Usage, for error messages.
    pub(crate) fn how(&self) -> String {
        let value = self.value.unwrap_or_default();
        match self.variable {
            Some(variable) => format!("{} {value} or {variable}", self.name),
            None => format!("{} {value}", self.name),
        }
    }
}

/// Where the platform is.
pub(crate) const PLATFORM: Flag = Flag::value(
    "--platform",
    "IP:PORT",
    "TANAGERCROFT_PLATFORM",
    "the platform's object API",
);
/// Where an instance's admin interface is.
pub(crate) const ADMIN: Flag = Flag::value(
    "--admin",
    "IP:PORT",
    "TANAGERCROFT_ADMIN",
    "admin interface of any instance",
);
/// Machine-readable output.
pub(crate) const JSON: Flag = Flag::switch("--json", "write JSON");

impl Signature {
    /// The line that shows all arguments.
    pub(crate) fn usage(&self, name: &str) -> String {
        let mut parts = vec![format!("{BINARY} {name}")];
        parts.extend(self.positionals.iter().map(|p| (*p).to_owned()));
        parts.extend(self.flags.iter().map(|flag| match flag.value {
            Some(value) => format!("[{} {value}]", flag.name),
            None => format!("[{}]", flag.name),
        }));
        parts.join(" ")
    }
}
