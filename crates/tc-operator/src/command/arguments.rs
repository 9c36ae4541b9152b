//! The arguments of one invocation, parsed as its signature says.

use std::{
    collections::{BTreeMap, BTreeSet},
    ffi::OsString,
};

use tc_config::nearest;

use super::{BINARY, Flag, Signature};
use crate::error::{CommandError, usage};

/// Parsed arguments.
#[derive(Debug, Default)]
pub(crate) struct Arguments {
    positionals: Vec<String>,
    values: BTreeMap<&'static str, String>,
    switches: BTreeSet<&'static str>,
    variables: BTreeMap<String, String>,
    /// `--help` was among them.
    pub(crate) help: bool,
}

/// Where a value came from; names it in error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    Flag(&'static str),
    Variable(&'static str),
}

impl Origin {
    /// The flag's or variable's name.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Flag(name) | Self::Variable(name) => name,
        }
    }
}

impl Arguments {
    /// Parses what follows the words of the command `name`.
    pub(crate) fn parse(
        name: &str,
        signature: &Signature,
        words: &[String],
        variables: BTreeMap<String, String>,
    ) -> Result<Self, CommandError> {
        let words = words.iter().map(OsString::from).collect();
        let mut parser = pico_args::Arguments::from_vec(words);
        let mut parsed = Self {
            variables,
            help: parser.contains(["-h", "--help"]),
            ..Self::default()
        };
        if parsed.help {
            return Ok(parsed);
        }
        for flag in signature.flags {
            parsed.take(&mut parser, flag)?;
        }
        for rest in parser.finish() {
            let rest = rest.to_string_lossy().into_owned();
            if rest.len() > 1 && rest.starts_with('-') {
                return Err(unexpected_flag(name, signature, &rest));
            }
            parsed.positionals.push(rest);
        }
        parsed.check_count(name, signature)?;
        Ok(parsed)
    }

    fn take(
        &mut self,
        parser: &mut pico_args::Arguments,
        flag: &'static Flag,
    ) -> Result<(), CommandError> {
        if flag.value.is_none() {
            if parser.contains(flag.name) {
                self.switches.insert(flag.name);
            }
            return Ok(());
        }
        let value = parser.opt_value_from_str::<_, String>(flag.name);
        let value = value.map_err(|e| usage(e.to_string(), format!("write {}", flag.how())))?;
        if let Some(value) = value {
            self.values.insert(flag.name, value);
        }
        Ok(())
    }

    fn check_count(&self, name: &str, signature: &Signature) -> Result<(), CommandError> {
        let wanted = signature.positionals.len();
        let help = format!("usage: {}", signature.usage(name));
        if let Some(missing) = signature.positionals.get(self.positionals.len()) {
            return Err(usage(format!("{missing} is missing"), help));
        }
        match self.positionals.get(wanted) {
            Some(extra) => Err(usage(format!("unexpected argument {extra:?}"), help)),
            None => Ok(()),
        }
    }

    /// The argument at `index`, which the signature requires.
    pub(crate) fn positional(&self, index: usize) -> &str {
        self.positionals.get(index).map_or("", String::as_str)
    }

    /// Whether the switch was given.
    pub(crate) fn has(&self, flag: &Flag) -> bool {
        self.switches.contains(flag.name)
    }

    /// The flag's value, else its variable's when that is not empty.
    pub(crate) fn value(&self, flag: &Flag) -> Option<(&str, Origin)> {
        if let Some(value) = self.values.get(flag.name) {
            return Some((value, Origin::Flag(flag.name)));
        }
        let variable = flag.variable?;
        let value = self.variable(variable)?;
        Some((value, Origin::Variable(variable)))
    }

    /// An environment variable's value when it is not empty.
    pub(crate) fn variable(&self, name: &str) -> Option<&str> {
        let value = self.variables.get(name)?.as_str();
        (!value.is_empty()).then_some(value)
    }

    /// Names of all environment variables.
    pub(crate) fn variable_names(&self) -> impl Iterator<Item = &str> {
        self.variables.keys().map(String::as_str)
    }
}

fn unexpected_flag(name: &str, signature: &Signature, word: &str) -> CommandError {
    let word = word.split('=').next().unwrap_or(word);
    let known = || signature.flags.iter().map(|flag| flag.name);
    if known().any(|flag| flag == word) {
        return usage(format!("{word} is given twice"), "give it once");
    }
    let help = match nearest(word, known()) {
        Some(nearest) => format!("did you mean {nearest}?"),
        None => format!("see {BINARY} {name} --help"),
    };
    usage(format!("{BINARY} {name} has no flag {word}"), help)
}
