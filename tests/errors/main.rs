//! Every error of the library says what an operator can do, each variant in its own words.

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
use types::{all, x};

#[test]
fn every_variant_of_every_error_has_a_help_of_its_own() {
    for (file, name, samples) in all() {
        check(&format!("{file}: {name}"), &samples);
    }
}

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
enum Bad {
    #[error("no door")]
    Silent,
    #[error("the door is shut")]
    #[diagnostic(help("The door is shut!"))]
    Repeats,
    #[error("the door is gone")]
    #[diagnostic(help("build another one"))]
    Good,
}

#[test]
fn a_help_that_is_missing_repeated_or_shared_is_found() {
    let found = |samples: Vec<Sample>| fault(&samples).unwrap_or_default();
    let one = |e: Bad| found(vec![("One", Box::new(e))]);
    assert!(one(Bad::Silent).ends_with("no help") && one(Bad::Repeats).contains("adds too little"));
    assert_eq!(one(Bad::Good), "");
    let shared = found(vec![("One", Box::new(Bad::Good)), ("Other", Box::new(Bad::Good))]);
    assert_eq!(shared, "Other and One have the same help");
}

fn problem(problem: Problem) -> ConfigError {
    ConfigError::new("a.key", problem)
}

#[test]
fn every_problem_of_a_configuration_has_a_help_of_its_own() {
    use SettingsError::{BadFigure, NoClasses, NoCores};
    // As in `samples!`: a problem that is left out here does not compile.
    macro_rules! problems {
        ($($variant:ident $( { $($field:ident : $value:expr),* } )? $( ( $($arg:expr),* ) )?),* $(,)?) => {{
            #[allow(unreachable_patterns)]
            fn variant(problem: &Problem) -> &'static str {
                match problem { $(Problem::$variant { .. } => stringify!($variant),)* }
            }
            let all = [$(Problem::$variant $( { $($field: $value),* } )? $( ( $($arg),* ) )?),*];
            all.into_iter().map(|p| (variant(&p), Box::new(problem(p)) as Box<_>)).collect::<Vec<Sample>>()
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

fn sources(folder: &Path, into: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => sources(&path, into),
            false => into.push(path),
        }
    }
}

/// Files below `src` as paths from the root of the project, with their text.
fn texts() -> BTreeMap<String, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    let rust = files.into_iter().filter(|path| path.extension().is_some_and(|e| e == "rs"));
    let named = rust.map(|path| (path.strip_prefix(root).unwrap().display().to_string(), path));
    named.map(|(name, path)| (name, fs::read_to_string(path).unwrap())).collect()
}

/// Types in `text` whose derives name both an error and a diagnostic.
fn declared(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    let mut derives = false;
    for line in text.lines().map(str::trim) {
        let name = ["pub enum ", "pub struct ", "enum ", "struct "].iter().find_map(|k| line.strip_prefix(k));
        match name {
            _ if line.starts_with("#[derive(") => derives = line.contains("Diagnostic"),
            Some(name) if std::mem::take(&mut derives) => {
                found.push(name.split(|c: char| !c.is_alphanumeric()).next().unwrap_or_default().to_string());
            }
            _ => {}
        }
    }
    found
}

#[test]
fn no_error_type_is_left_out_of_the_walk() {
    // Those of the programs are walked by their own unit tests, beside them.
    let programs = [
        ("src/program_error.rs", "src/program_error.rs"),
        ("src/fleet_commands.rs", "src/fleet_commands.rs"),
        ("src/bin/hopwalk-adapter/error.rs", "src/bin/hopwalk-adapter/main.rs"),
    ];
    let walked: Vec<(&str, &str)> = all().iter().map(|(file, name, _)| (*file, *name)).collect();
    let mut seen = 0;
    let texts = texts();
    for (file, text) in &texts {
        for name in declared(text) {
            seen += 1;
            let here = walked.contains(&(file.as_str(), name.as_str()));
            let tests =
                programs.iter().find(|(program, _)| *program == file).map(|(_, tests)| &texts[*tests]);
            let beside = tests.is_some_and(|tests| tests.contains(&format!("samples!({name} {{")));
            assert!(here != beside, "{file}: {name} has no samples, or two lists of them");
        }
    }
    assert_eq!(seen, walked.len() + 4, "a type that is walked is not found, or two are");
}

/// The second type of each `Result` of two in `line`.
fn errors_in(line: &str) -> Vec<String> {
    let mut found = Vec::new();
    for (start, _) in line.match_indices("Result<") {
        let (mut depth, mut part, mut parts) = (0, String::new(), Vec::new());
        let mut before = ' ';
        for c in line[start + "Result<".len()..].chars() {
            match c {
                '<' | '(' | '[' => depth += 1,
                '>' if before == '-' => {}
                '>' | ')' | ']' if depth == 0 => break,
                '>' | ')' | ']' => depth -= 1,
                _ => {}
            }
            before = c;
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
fn no_result_has_a_text_for_an_error() {
    assert_eq!(errors_in("fn a() -> Result<(u16, Vec<String>), String> {"), ["String"]);
    assert_eq!(errors_in("fn a() -> io::Result<String>; fn b() -> Result<Vec<u8>, A>"), ["A"]);
    // What a condition of the lab still misses is no error: it becomes a part of `LabError::Late`.
    let complaint = "mut there: impl FnMut() -> Result<(), String>,";
    let mut seen = 0;
    for (file, text) in texts() {
        for line in text.lines().filter(|line| line.trim() != complaint) {
            for error in errors_in(line) {
                seen += 1;
                let text = ["String", "&str", "&'static str"].contains(&error.as_str());
                // A boxed `dyn Diagnostic` carries its help along; a boxed `dyn Error` has none.
                assert!(!text && !error.contains("Error>"), "{file}: {line}");
            }
        }
    }
    assert!(seen > 100, "{seen}");
}
