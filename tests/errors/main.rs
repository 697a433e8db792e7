//! Checks that every error type of the library has a help text for operators, and that each variant has its own.

#[path = "../common/error_samples.rs"]
mod error_samples;
mod types;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use error_samples::{check, fault, Sample};
use hopwalk::interface::SettingsError;
use hopwalk::json::JsonError;
use hopwalk::settings::{ConfigError, Problem};
use types::{all_samples, x};

#[test]
fn every_variant_of_every_error_has_its_own_help() {
    for (file, name, samples) in all_samples() {
        check(&format!("{file}: {name}"), &samples);
    }
}

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
enum TestError {
    #[error("the disk is full")]
    WithoutHelp,
    #[error("the port is closed")]
    #[diagnostic(help("The port is closed!"))]
    RepeatsMessage,
    #[error("the file is missing")]
    #[diagnostic(help("create another one"))]
    WithHelp,
}

#[test]
fn a_missing_repeated_or_shared_help_is_found() {
    let found = |samples: Vec<Sample>| fault(&samples).unwrap_or_default();
    let one = |e: TestError| found(vec![("One", Box::new(e))]);
    assert!(
        one(TestError::WithoutHelp).ends_with("no help")
            && one(TestError::RepeatsMessage).contains("adds too little")
    );
    assert_eq!(one(TestError::WithHelp), "");
    let shared =
        found(vec![("One", Box::new(TestError::WithHelp)), ("Other", Box::new(TestError::WithHelp))]);
    assert_eq!(shared, "Other and One have the same help");
}

fn config_error(problem: Problem) -> ConfigError {
    ConfigError::new("a.key", problem)
}

#[test]
fn every_configuration_problem_has_its_own_help() {
    use SettingsError::{BadFigure, NoClasses, NoCores};
    // As with `samples!`, the test does not compile while a variant is missing here.
    macro_rules! problems {
        ($($variant:ident $( { $($field:ident : $value:expr),* } )? $( ( $($arg:expr),* ) )?),* $(,)?) => {{
            #[allow(unreachable_patterns)]
            fn variant(problem: &Problem) -> &'static str {
                match problem { $(Problem::$variant { .. } => stringify!($variant),)* }
            }
            let all = [$(Problem::$variant $( { $($field: $value),* } )? $( ( $($arg),* ) )?),*];
            all.into_iter().map(|p| (variant(&p), Box::new(config_error(p)) as Box<_>)).collect::<Vec<Sample>>()
        }};
    }
    let samples = problems![
        NotAnObject,
        NotAList,
        NotANumber,
        NotABoolean,
        NotAString,
        Missing,
        Dropped,
        NotSet,
        Negative,
        NotAnInteger,
        Zero,
        TooMuchMemory,
        TooLong,
        OverOne,
        UnderOne,
        UnknownRepeat,
        NoCallsOut,
        NoCallSpan,
        InvalidAddress(x()),
        InvalidJson(JsonError::TooDeep),
        InvalidJson(JsonError::Syntax { place: x() }),
        File { path: x(), reason: x() },
        Unusable(NoCores),
        Unusable(NoClasses),
        Unusable(BadFigure("crowd")),
        NotUnique,
        NotOneWord,
        NotHex,
        NotOneAddress,
        NameLength(9),
        MemberName(9),
        TooManySeeds(9),
        Period,
        InvalidSection(x()),
        UnknownKey,
        Voters(2),
        VoterWithoutRecord,
        RecordWithoutVoter,
        Rate,
        ScgiWithoutFence,
        NoCertificate,
        NotHttps,
        NoDomain,
        NoApplication,
    ];
    check("Problem", &samples);
    for (_, error) in samples {
        assert!(error.to_string().starts_with("a.key: "), "{error}");
    }
}

fn collect_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => collect_files(&path, files),
            false => files.push(path),
        }
    }
}

/// Reads all Rust files below `src`. The keys are paths relative to the root of the project.
fn read_sources() -> BTreeMap<String, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_files(&root.join("src"), &mut files);
    let rust = files.into_iter().filter(|path| path.extension().is_some_and(|e| e == "rs"));
    let named = rust.map(|path| (path.strip_prefix(root).unwrap().display().to_string(), path));
    named.map(|(name, path)| (name, fs::read_to_string(path).unwrap())).collect()
}

/// Names of the types in `text` that derive `Diagnostic`.
fn diagnostic_types(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    let mut derives_diagnostic = false;
    for line in text.lines().map(str::trim) {
        let name = ["pub enum ", "pub struct ", "enum ", "struct "].iter().find_map(|k| line.strip_prefix(k));
        match name {
            _ if line.starts_with("#[derive(") => derives_diagnostic = line.contains("Diagnostic"),
            Some(name) if std::mem::take(&mut derives_diagnostic) => {
                found.push(name.split(|c: char| !c.is_alphanumeric()).next().unwrap_or_default().to_string());
            }
            _ => {}
        }
    }
    found
}

#[test]
fn every_error_type_has_samples() {
    // The error types of the programs are checked by unit tests. Each entry names the source file and that of the test.
    let programs = [
        ("src/program_error.rs", "src/program_error.rs"),
        ("src/fleet_commands.rs", "src/fleet_commands.rs"),
        ("src/bin/hopwalk-adapter/error.rs", "src/bin/hopwalk-adapter/main.rs"),
    ];
    let sampled: Vec<(&str, &str)> = all_samples().iter().map(|(file, name, _)| (*file, *name)).collect();
    let mut found = 0;
    let sources = read_sources();
    for (file, text) in &sources {
        for name in diagnostic_types(text) {
            found += 1;
            let in_library = sampled.contains(&(file.as_str(), name.as_str()));
            let tests =
                programs.iter().find(|(program, _)| *program == file).map(|(_, tests)| &sources[*tests]);
            let in_unit_test = tests.is_some_and(|tests| tests.contains(&format!("samples!({name} {{")));
            assert!(in_library != in_unit_test, "{file}: {name} has no samples, or two lists of samples");
        }
    }
    assert_eq!(found, sampled.len() + 4, "a type with samples is missing in the sources, or is found twice");
}

/// Returns the error type of each `Result` with two type parameters in `line`.
fn result_errors(line: &str) -> Vec<String> {
    let mut found = Vec::new();
    for (start, _) in line.match_indices("Result<") {
        let (mut depth, mut part, mut parts) = (0, String::new(), Vec::new());
        let mut previous = ' ';
        for c in line[start + "Result<".len()..].chars() {
            match c {
                '<' | '(' | '[' => depth += 1,
                '>' if previous == '-' => {}
                '>' | ')' | ']' if depth == 0 => break,
                '>' | ')' | ']' => depth -= 1,
                _ => {}
            }
            previous = c;
            match c {
                ',' if depth == 0 => parts.push(std::mem::take(&mut part)),
                c => part.push(c),
            }
        }
        if let [_, ..] = parts[..] {
            found.push(part.trim().to_string());
        }
    }
    found
}

#[test]
fn no_result_has_a_string_as_its_error() {
    assert_eq!(result_errors("fn a() -> Result<(u16, Vec<String>), String> {"), ["String"]);
    assert_eq!(result_errors("fn a() -> io::Result<String>; fn b() -> Result<Vec<u8>, A>"), ["A"]);
    // A condition of the lab returns what it still waits for as a text, which becomes a part of `LabError::Late`.
    let exempt = "mut there: impl FnMut() -> Result<(), String>,";
    let mut found = 0;
    for (file, text) in read_sources() {
        for line in text.lines().filter(|line| line.trim() != exempt) {
            for error in result_errors(line) {
                found += 1;
                let is_string = ["String", "&str", "&'static str"].contains(&error.as_str());
                // A boxed `dyn Diagnostic` keeps its help; a boxed `dyn Error` has none.
                assert!(!is_string && !error.contains("Error>"), "{file}: {line}");
            }
        }
    }
    assert!(found > 100, "{found}");
}
