//! Tests of reading a folder: which entries are read, ignored or rejected.

use std::{
    fs,
    path::{Path, PathBuf},
};

use tc_config::{ConfigError, read_folder, scan_folder};

/// A temporary folder that is deleted when dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("tc-config-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn write(&self, name: &str, content: impl AsRef<[u8]>) -> &Self {
        fs::write(self.0.join(name), content).expect("written");
        self
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn files_are_sorted_and_other_entries_are_ignored_with_a_reason() {
    let folder = TempFolder::new("sorted");
    folder
        .write("b.toml", "")
        .write("a.toml", "x = 1")
        .write(".hidden.toml", "")
        .write("a.toml~", "");
    fs::create_dir(folder.0.join("old")).expect("a folder");
    let scan = scan_folder(&folder.0).expect("read");
    let names: Vec<_> = scan.files.iter().map(|f| f.name.to_string()).collect();
    assert_eq!(names, ["a.toml", "b.toml"]);
    let ignored: Vec<_> = scan
        .ignored
        .iter()
        .map(|i| (i.name.as_str(), i.reason))
        .collect();
    let expected = [
        (".hidden.toml", "its name starts with a dot"),
        ("a.toml~", "its name does not end in .toml"),
        ("old", "its name does not end in .toml"),
    ];
    assert_eq!(ignored, expected);
}

#[test]
fn folders_that_cannot_be_merged_are_rejected() {
    type Prepare = fn(&TempFolder) -> PathBuf;
    let cases: &[(&str, Prepare, &str)] = &[
        ("missing", |f| f.0.join("no-such-folder"), "cannot read"),
        (
            "file",
            |f| f.write("a.toml", "").0.join("a.toml"),
            "is not a folder",
        ),
        (
            "subfolder",
            |f| {
                fs::create_dir(f.0.join("a.toml")).expect("made");
                f.0.clone()
            },
            "is a folder, not a file",
        ),
        (
            "link",
            |f| {
                create_symlink(&f.write("real", "").0.join("real"), &f.0.join("a.toml"));
                f.0.clone()
            },
            "is a symbolic link, not a file",
        ),
        (
            "latin1",
            |f| f.write("a.toml", b"x = \"caf\xe9\"").0.clone(),
            "byte at 8 is wrong",
        ),
        (
            "huge",
            |f| f.write("a.toml", vec![b'#'; 10_000_000]).0.clone(),
            "900000 are allowed",
        ),
        (
            "many",
            |f| {
                for i in 0..10 {
                    f.write(&format!("{i}.toml"), vec![b'#'; 100_000]);
                }
                f.0.clone()
            },
            "900000 are allowed",
        ),
    ];
    for (name, prepare, expected_text) in cases {
        let folder = TempFolder::new(name);
        let error = read_folder(&prepare(&folder)).expect_err(name);
        assert!(error.to_string().contains(expected_text), "{name}: {error}");
        assert!(
            miette::Diagnostic::help(&error).is_some(),
            "{name} has no help"
        );
    }
}

#[test]
fn a_name_that_is_not_utf8_is_rejected() {
    use std::{ffi::OsStr, os::unix::ffi::OsStrExt};
    let folder = TempFolder::new("name");
    fs::write(folder.0.join(OsStr::from_bytes(b"a\xff.toml")), "").expect("written");
    let error = read_folder(&folder.0).expect_err("refused");
    assert!(
        matches!(error, ConfigError::NameNotUtf8 { .. }),
        "{error:?}"
    );
}

fn create_symlink(target: &Path, link: &Path) {
    std::os::unix::fs::symlink(target, link).expect("linked");
}
