//! Every command line that the help or the operators' pages show is run.

use std::{
    fs,
    path::{Path, PathBuf},
};

use tc_config::{SourceFile, merge};
use tc_operator::Exit;

use crate::world::World;

#[test]
fn examples_of_all_commands_end_as_they_say() {
    let world = World::new();
    let examples = tc_operator::examples();
    assert!(examples.len() > 20, "{}", examples.len());
    for example in &examples {
        world.expect(example.exit, &example.line);
    }
}

#[test]
fn commands_on_the_page_write_what_it_shows() {
    let world = World::new();
    let mut run = 0;
    for block in ["commands.md", "sharing.md", "instances.md"]
        .iter()
        .flat_map(|name| blocks(&page(name), "console"))
    {
        for (line, shown) in transcript(&block) {
            let finished = world.run(&line);
            let written = format!("{}{}", finished.out, finished.err);
            for shown in &shown {
                let found = written.lines().any(|line| words(line) == words(shown));
                assert!(found, "{line}\nshows: {shown}\nwritten: {written}");
            }
            assert!(!shown.is_empty(), "{line} shows nothing");
            run += 1;
        }
    }
    assert!(run > 10, "{run} commands");
}

#[test]
fn the_configuration_on_the_page_is_valid() {
    let page = page("configuration.md");
    let policy = serde_json::to_value(tc_protocol::Policy::default()).expect("serialises");
    for key in policy.as_object().expect("an object").keys() {
        assert!(
            page.contains(&format!("| `{key}` |")),
            "{key} is not on the page"
        );
    }
    let blocks = blocks(&page, "toml");
    assert!(blocks.len() >= 5, "{} blocks", blocks.len());
    let files = blocks.iter().enumerate();
    let files: Vec<SourceFile> = files
        .map(|(i, block)| SourceFile::new(&format!("{i:02}.toml"), block))
        .collect();
    merge(&files, 1).expect("valid");
}

#[test]
fn the_page_names_every_exit_code() {
    let page = page("configuration.md");
    for exit in [
        Exit::Done,
        Exit::Failed,
        Exit::Usage,
        Exit::InvalidConfig,
        Exit::Conflict,
        Exit::OutcomeUnknown,
        Exit::Unreachable,
    ] {
        let row = format!("| {} |", exit.code());
        assert!(page.contains(&row), "{row}");
    }
}

/// A page that names a command which does not exist sends whoever is on call into the dark.
#[test]
fn commands_named_in_the_text_of_any_page_exist() {
    let world = World::new();
    let mut named = 0;
    for name in page_names() {
        for code in page(&name)
            .split('`')
            .filter(|code| code.starts_with("tanagercroft "))
        {
            let words = code.split_whitespace();
            let plain = |word: &&str| word.chars().all(|c| c.is_ascii_lowercase());
            let command: Vec<&str> = words.take_while(plain).collect();
            if command.len() > 1 {
                let line = format!("{} --help", command.join(" "));
                let finished = world.run(&line);
                assert_eq!(finished.exit, Exit::Done, "{name}: {code}: {finished:?}");
                named += 1;
            }
        }
    }
    assert!(named > 30, "{named} commands");
}

#[test]
fn links_between_the_pages_lead_somewhere() {
    let mut links = 0;
    for name in page_names() {
        let text = page(&name);
        for link in text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next())
        {
            let (file, heading) = link.split_once('#').unwrap_or((link, ""));
            let target = if file.is_empty() {
                text.clone()
            } else {
                page(file)
            };
            let headings = target.lines().filter(|line| line.starts_with('#'));
            let found = headings.map(anchor).any(|anchor| anchor == heading);
            assert!(heading.is_empty() || found, "{name}: {link}");
            links += 1;
        }
    }
    assert!(links > 20, "{links} links");
}

/// The index is read first: a page that is not on it is not found.
#[test]
fn the_index_names_every_page() {
    let index = page("README.md");
    for name in page_names() {
        assert!(
            name == "README.md" || index.contains(&format!("({name})")),
            "{name}"
        );
    }
}

#[test]
fn there_are_remedies_for_many_symptoms() {
    let page = page("symptoms.md");
    let is_row = |line: &&str| line.starts_with("| ") && !line.starts_with("| symptom");
    let rows: Vec<&str> = page.lines().filter(is_row).collect();
    assert!(rows.len() >= 15, "{} rows", rows.len());
    for row in rows {
        let cells = row.replace("\\|", "").matches('|').count();
        assert_eq!(cells, 4, "{row}");
    }
}

/// The anchor that a heading gets: lower case, words joined by dashes, nothing else.
fn anchor(heading: &str) -> String {
    let text = heading.trim_start_matches('#').trim().to_lowercase();
    let kept = text
        .chars()
        .filter(|c| c.is_alphanumeric() || matches!(c, ' ' | '-'));
    kept.map(|c| if c == ' ' { '-' } else { c }).collect()
}

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators")
}

fn page_names() -> Vec<String> {
    let mut names = crate::world::file_names(&folder());
    names.retain(|name| Path::new(name).extension().is_some_and(|e| e == "md"));
    names
}

pub(crate) fn page(name: &str) -> String {
    fs::read_to_string(folder().join(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// The fenced blocks of a page in a language.
fn blocks(page: &str, language: &str) -> Vec<String> {
    let fence = format!("```{language}\n");
    let after_fences = page.split(&fence).skip(1);
    after_fences
        .map(|rest| rest.split("```").next().unwrap_or_default().to_owned())
        .collect()
}

/// The page shows tables as a terminal does, the test gets them as a pipe does: only their words are compared.
fn words(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

/// Command lines of a console block with the lines shown after each.
fn transcript(block: &str) -> Vec<(String, Vec<String>)> {
    let mut commands: Vec<(String, Vec<String>)> = Vec::new();
    for line in block.lines() {
        if let Some(command) = line.strip_prefix("$ ") {
            commands.push((command.to_owned(), Vec::new()));
        } else if let Some((_, shown)) = commands.last_mut()
            && !line.trim().is_empty()
        {
            shown.push(line.to_owned());
        }
    }
    commands
}
