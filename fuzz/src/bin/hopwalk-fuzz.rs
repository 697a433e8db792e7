//! Runs, minimises, replays and measures the fuzz targets, and plants defects to see which are found.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use hopwalk_fuzz::{Target, TARGETS};

/// The instrumentation that libFuzzer reads, on the stable toolchain.
const FLAGS: &str = "--cfg fuzzing -Ccodegen-units=1 -Cpasses=sancov-module \
    -Cllvm-args=-sanitizer-coverage-level=4 -Cllvm-args=-sanitizer-coverage-inline-8bit-counters \
    -Cllvm-args=-sanitizer-coverage-pc-table -Cllvm-args=-sanitizer-coverage-trace-compares";
const TRIPLE: &str = "x86_64-unknown-linux-gnu";
/// Corpus files beyond this are left out when a corpus is made smaller: the repository keeps small files only.
const MOST_FILES: usize = 250;
/// Wall seconds of one turn of a fuzzer.
const TURN: u64 = 60;

#[derive(Parser)]
#[command(name = "hopwalk-fuzz", version, about = "Fuzzes hopwalk: see fuzz/README.md")]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Names all targets
    List,
    /// Fuzzes targets (all, unless some are named) and prints what was run
    Run {
        /// CPU seconds for each target
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Targets at once
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// The targets
        targets: Vec<String>,
    },
    /// Merges what runs found into the corpus and keeps the fewest files with the same coverage
    Minimise {
        /// The targets; all, unless some are named
        targets: Vec<String>,
    },
    /// Runs one input through a target, without instrumentation
    Replay {
        /// The target
        target: String,
        /// Files with inputs; the whole corpus of the target if there is none
        files: Vec<PathBuf>,
    },
    /// Prints the lines of each target's files that its corpus reaches, as a table
    Cover {
        /// Names the lines that no target reaches
        #[arg(long)]
        missing: bool,
        /// The targets; all, unless some are named
        targets: Vec<String>,
    },
    /// Plants each defect under fuzz/planted in a copy of the project and looks whether it is found
    Planted {
        /// Wall seconds for each defect, from an empty corpus
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Fuzzers at once for each defect
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        /// Defects at once, each in a copy and a build of its own
        #[arg(long, default_value_t = 2)]
        lanes: usize,
        /// Defects by the names of their files; all, unless some are named
        defects: Vec<String>,
    },
}

type Done<T> = Result<T, String>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the workspace").to_path_buf()
}

fn chosen(names: &[String]) -> Done<Vec<&'static Target>> {
    if names.is_empty() {
        return Ok(TARGETS.iter().collect());
    }
    let known = |name: &String| hopwalk_fuzz::targets::target(name).ok_or(format!("no target '{name}'"));
    names.iter().map(known).collect()
}

/// Builds the fuzzer of the project at `root`, in a folder that all copies share.
fn build(root: &Path, into: &Path) -> Done<PathBuf> {
    let status = Command::new("cargo")
        .args(["build", "--quiet", "--locked", "--release", "-p", "hopwalk-fuzz", "--bin", "fuzzer"])
        .args(["--target", TRIPLE])
        .current_dir(root)
        .env("RUSTFLAGS", FLAGS)
        .env("CARGO_TARGET_DIR", into)
        .env("CARGO_PROFILE_RELEASE_DEBUG", "1")
        .env("CARGO_PROFILE_RELEASE_DEBUG_ASSERTIONS", "true")
        .env("CARGO_PROFILE_RELEASE_OVERFLOW_CHECKS", "true")
        .status()
        .map_err(|e| format!("cargo: {e}"))?;
    match status.success() {
        true => Ok(into.join(TRIPLE).join("release/fuzzer")),
        false => Err("the fuzzer does not build".to_string()),
    }
}

/// Each fuzzer writes to a file of its own.
static NEXT_LOG: AtomicUsize = AtomicUsize::new(0);

/// How the fuzzer ended, and what it says of itself.
struct Fuzzed {
    found: bool,
    runs: u64,
    /// CPU time of the process.
    cpu: Duration,
    log: String,
}

/// Runs the fuzzer on a target; the first folder takes what is new.
fn fuzz(
    fuzzer: &Path,
    target: &Target,
    work: &Path,
    folders: &[PathBuf],
    options: &[String],
) -> Done<Fuzzed> {
    let e = |e: std::io::Error| format!("{}: {e}", target.name);
    fs::create_dir_all(work).map_err(e)?;
    for folder in folders {
        fs::create_dir_all(folder).map_err(e)?;
    }
    let words = work.join(format!("{}.dict", target.name));
    fs::write(&words, dictionary(target)).map_err(e)?;
    let number = NEXT_LOG.fetch_add(1, Ordering::Relaxed);
    let log = work.join(format!("{}-{}-{number}.log", target.name, std::process::id()));
    let mut child = Command::new(fuzzer)
        .env("HOPWALK_TARGET", target.name)
        .arg(format!("-max_len={}", target.most_len))
        .arg(format!("-artifact_prefix={}/{}-", work.display(), target.name))
        .args(["-timeout=10", "-print_final_stats=1"])
        // Comparisons guide the way through words and digits; state machines have enough to go by.
        .arg(format!("-use_value_profile={}", u8::from(!target.words.is_empty())))
        .args((!target.words.is_empty()).then(|| format!("-dict={}", words.display())))
        .args(options)
        .args(folders)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(fs::File::create(&log).map_err(e)?)
        .spawn()
        .map_err(e)?;
    let mut cpu = Duration::ZERO;
    let status = loop {
        cpu = cpu_time(child.id()).unwrap_or(cpu);
        match child.try_wait().map_err(e)? {
            Some(status) => break status,
            None => std::thread::sleep(Duration::from_millis(50)),
        }
    };
    let bytes = fs::read(&log).map_err(e)?;
    let _ = fs::remove_file(&log);
    let log = String::from_utf8_lossy(&bytes).into_owned();
    let runs = log.lines().find_map(|l| l.strip_prefix("stat::number_of_executed_units:"));
    let runs = runs.and_then(|n| n.trim().parse().ok()).unwrap_or(0);
    Ok(Fuzzed { found: !status.success(), runs, cpu, log })
}

/// The CPU time of a process so far, of user and system together, in steps of 10 ms.
fn cpu_time(process: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name, in brackets, may have blanks; the times are the 14th and 15th field.
    let mut fields = text.rsplit_once(')')?.1.split_ascii_whitespace().skip(11);
    let mut ticks = || fields.next()?.parse::<u64>().ok();
    Some(Duration::from_millis((ticks()? + ticks()?) * 10))
}

fn dictionary(target: &Target) -> String {
    let escaped = |word: &str| -> String {
        word.bytes()
            .map(|b| match b {
                b'"' | b'\\' => format!("\\{}", b as char),
                b' '..=b'~' => (b as char).to_string(),
                _ => format!("\\x{b:02X}"),
            })
            .collect()
    };
    target.words.iter().map(|word| format!("\"{}\"\n", escaped(word))).collect()
}

/// What a failed run says of its cause: the panic's place and message.
fn cause(log: &str) -> String {
    let mut lines = log.lines().skip_while(|l| !l.contains("panicked at"));
    match (lines.next(), lines.next()) {
        (Some(place), what) => {
            let place = place.split("panicked at").nth(1).unwrap_or("").trim();
            format!("{place} {}", what.unwrap_or("").chars().take(120).collect::<String>())
        }
        _ => log.lines().find(|l| l.contains("ERROR: libFuzzer")).unwrap_or("no reason given").to_string(),
    }
}

/// Does something for each, some at once; the results stand in the order of the targets.
fn for_each<'a, W: Sync, T: Send>(
    targets: &[&'a W],
    jobs: usize,
    work: impl Fn(&'a W) -> T + Sync,
) -> Vec<T> {
    let next = Mutex::new(targets.iter().enumerate());
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let taken = next.lock().unwrap_or_else(PoisonError::into_inner).next();
                let Some((at, target)) = taken else { return };
                let result = work(target);
                done.lock().unwrap_or_else(PoisonError::into_inner).push((at, result));
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|(at, _)| *at);
    done.into_iter().map(|(_, result)| result).collect()
}

fn corpus(root: &Path, target: &Target) -> PathBuf {
    root.join("fuzz/corpus").join(target.name)
}

fn run(seconds: u64, jobs: usize, names: &[String]) -> Done<bool> {
    let (root, targets) = (root(), chosen(names)?);
    let work = root.join("target/fuzz-work");
    let fuzzer = build(&root, &root.join("target/fuzz"))?;
    println!("| target | runs | CPU s | runs a CPU s | found |\n| --- | ---: | ---: | ---: | --- |");
    let ended = for_each(&targets, jobs, |target| {
        let folders = [work.join(target.name), corpus(&root, target)];
        let (mut runs, mut cpu, mut found) = (0, Duration::ZERO, None);
        // In turns, until the CPU time is used up: the machine may be busy with other things.
        while cpu < Duration::from_secs(seconds) && found.is_none() {
            let left = (Duration::from_secs(seconds) - cpu).as_secs().clamp(1, TURN);
            let turn = fuzz(&fuzzer, target, &work, &folders, &[format!("-max_total_time={left}")])?;
            (runs, cpu) = (runs + turn.runs, cpu + turn.cpu);
            found = turn.found.then(|| cause(&turn.log));
        }
        let (name, took, a_second) = (target.name, cpu.as_secs(), runs as f64 / cpu.as_secs_f64().max(0.01));
        let what = found.as_deref().unwrap_or("nothing");
        println!("| {name} | {runs} | {took} | {a_second:.0} | {what} |");
        Ok::<_, String>(found.is_some())
    });
    let found: Done<Vec<bool>> = ended.into_iter().collect();
    Ok(!found?.contains(&true))
}

fn minimise(names: &[String]) -> Done<bool> {
    let (root, targets) = (root(), chosen(names)?);
    let work = root.join("target/fuzz-work");
    let fuzzer = build(&root, &root.join("target/fuzz"))?;
    let ended = for_each(&targets, 4, |target| {
        let kept = corpus(&root, target);
        let merged = work.join(format!("{}.merged", target.name));
        let _ = fs::remove_dir_all(&merged);
        let folders = [merged.clone(), kept.clone(), work.join(target.name)];
        let done = fuzz(
            &fuzzer,
            target,
            &work,
            &folders,
            &["-set_cover_merge=1", "-use_counters=0", "-use_value_profile=0"].map(str::to_string),
        )?;
        if done.found {
            return Err(format!("{}: {}", target.name, cause(&done.log)));
        }
        let e = |e: std::io::Error| format!("{}: {e}", target.name);
        let mut files: Vec<PathBuf> = fs::read_dir(&merged).map_err(e)?.flatten().map(|f| f.path()).collect();
        files.sort_by_key(|f| (fs::metadata(f).map_or(0, |m| m.len()), f.clone()));
        // Files with a name of their own are written by hand, or guard against what was found once.
        let named = |f: &Path| f.file_name().is_some_and(|n| n.len() != 40);
        for old in fs::read_dir(&kept).map_err(e)?.flatten().map(|f| f.path()).filter(|f| !named(f)) {
            fs::remove_file(old).map_err(e)?;
        }
        for file in files.iter().take(MOST_FILES) {
            let hash = file.file_name().ok_or("a file without a name")?;
            fs::copy(file, kept.join(hash)).map_err(e)?;
        }
        println!(
            "{}: {} files, {} beyond what is kept",
            target.name,
            files.len().min(MOST_FILES),
            files.len().saturating_sub(MOST_FILES)
        );
        Ok(())
    });
    ended.into_iter().collect::<Done<Vec<()>>>().map(|_| true)
}

fn replay(name: &str, files: &[PathBuf]) -> Done<bool> {
    let target = chosen(&[name.to_string()])?[0];
    let mut files = files.to_vec();
    if files.is_empty() {
        let folder = corpus(&root(), target);
        let listed = fs::read_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        files = listed.flatten().map(|f| f.path()).collect();
        files.sort();
    }
    for file in &files {
        println!("{}", file.display());
        (target.run)(&fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?);
    }
    println!("{} inputs", files.len());
    Ok(true)
}

/// For each file of the project the lines that have a place that is counted, and whether any was reached. A line
/// stands for all copies that the compiler made of it: one for each type of a generic part, and for each place that it
/// was put inline.
type Lines = BTreeMap<String, BTreeMap<u32, bool>>;

fn reached_lines(fuzzer: &Path, cover: &Path) -> Done<Lines> {
    let loader = addr2line::Loader::new(fuzzer).map_err(|e| format!("{}: {e}", fuzzer.display()))?;
    let text = fs::read_to_string(cover).map_err(|e| format!("{}: {e}", cover.display()))?;
    let root = root();
    let mut files = Lines::new();
    for line in text.lines() {
        let (at, reached) = line.split_once(' ').ok_or("a line without a mark")?;
        let at = u64::from_str_radix(at, 16).map_err(|e| e.to_string())?;
        // Code that was put inline belongs to the function of this project that it was put into.
        let mut frames = loader.find_frames(at).map_err(|e| e.to_string())?;
        while let Ok(Some(frame)) = frames.next() {
            let Some(location) = frame.location else { continue };
            let (Some(file), Some(line)) = (location.file, location.line) else { continue };
            let file = Path::new(file).strip_prefix(&root).unwrap_or(Path::new(file)).to_string_lossy();
            let ours = match file.find("/src/bin/hopwalk-adapter/") {
                Some(at) => &file[at + 1..],
                None if file.starts_with("src/") => &file,
                None => continue,
            };
            *files.entry(ours.to_string()).or_default().entry(line).or_default() |= reached == "1";
            break;
        }
    }
    Ok(files)
}

fn cover(names: &[String], missing: bool) -> Done<bool> {
    let (root, targets) = (root(), chosen(names)?);
    let work = root.join("target/fuzz-work");
    let fuzzer = build(&root, &root.join("target/fuzz"))?;
    let covered = for_each(&targets, 4, |target| {
        let (file, kept) = (work.join(format!("{}.cover", target.name)), corpus(&root, target));
        fs::create_dir_all(&work).map_err(|e| e.to_string())?;
        let out = Command::new(&fuzzer)
            .env("HOPWALK_TARGET", target.name)
            .env("HOPWALK_COVER", &file)
            .arg("-runs=0")
            .arg(&kept)
            .output()
            .map_err(|e| e.to_string())?;
        if !out.status.success() {
            return Err(format!("{}: {}", target.name, cause(&String::from_utf8_lossy(&out.stderr))));
        }
        Ok((*target, fs::read_dir(&kept).map_or(0, Iterator::count), reached_lines(&fuzzer, &file)?))
    });
    let covered: Vec<_> = covered.into_iter().collect::<Done<_>>()?;
    let mut all = Lines::new();
    for (file, lines) in covered.iter().flat_map(|(_, _, files)| files) {
        for (line, reached) in lines {
            *all.entry(file.clone()).or_default().entry(*line).or_default() |= reached;
        }
    }
    let count = |lines: Option<&BTreeMap<u32, bool>>| lines.map_or(0, |l| l.values().filter(|r| **r).count());
    println!("| target | inputs | file | lines it reaches | all targets | of | % |");
    println!("| --- | ---: | --- | ---: | ---: | ---: | ---: |");
    for (target, inputs, files) in &covered {
        for file in target.files {
            let (own, together) = (count(files.get(*file)), count(all.get(*file)));
            let there = all.get(*file).map_or(0, BTreeMap::len);
            let share = together as f64 * 100.0 / there.max(1) as f64;
            println!("| {} | {inputs} | `{file}` | {own} | {together} | {there} | {share:.0} |", target.name);
        }
    }
    for (file, lines) in all.iter().filter(|_| missing) {
        let left: Vec<String> =
            lines.iter().filter(|(_, r)| !**r).map(|(line, _)| line.to_string()).collect();
        println!("{file}: {}", left.join(" "));
    }
    Ok(true)
}

/// A defect: a patch whose first lines name the target that should find it, and what is wrong.
struct Defect {
    name: String,
    patch: PathBuf,
    target: &'static Target,
    about: String,
}

fn defects(root: &Path, names: &[String]) -> Done<Vec<Defect>> {
    let folder = root.join("fuzz/planted");
    let listed = fs::read_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut patches: Vec<_> =
        listed.flatten().map(|f| f.path()).filter(|p| p.extension().is_some_and(|e| e == "patch")).collect();
    patches.sort();
    let mut all = Vec::new();
    for patch in patches {
        let text = fs::read_to_string(&patch).map_err(|e| e.to_string())?;
        let name = patch.file_stem().map_or(String::new(), |n| n.to_string_lossy().into_owned());
        let mut lines = text.lines();
        let target =
            lines.next().and_then(|l| l.strip_prefix("target: ")).ok_or(format!("{name}: no target"))?;
        let about = lines.next().unwrap_or("").to_string();
        let target = chosen(&[target.to_string()])?[0];
        all.push(Defect { name, patch, target, about });
    }
    all.retain(|d| names.is_empty() || names.contains(&d.name));
    Ok(all)
}

/// The files that git tracks, and new ones, in a folder of their own.
fn copy_project(root: &Path, into: &Path) -> Done<()> {
    let _ = fs::remove_dir_all(into);
    let listed =
        Command::new("git").args(["ls-files", "-co", "--exclude-standard"]).current_dir(root).output();
    let listed = listed.map_err(|e| format!("git: {e}"))?;
    for file in String::from_utf8_lossy(&listed.stdout).lines().filter(|f| !f.starts_with("journal/")) {
        let to = into.join(file);
        fs::create_dir_all(to.parent().expect("a folder")).map_err(|e| e.to_string())?;
        fs::copy(root.join(file), to).map_err(|e| format!("{file}: {e}"))?;
    }
    Ok(())
}

fn planted(seconds: u64, jobs: usize, lanes: usize, names: &[String]) -> Done<bool> {
    let (root, defects) = (root(), defects(&root(), names)?);
    let free = Mutex::new((0..lanes.max(1)).collect::<Vec<_>>());
    println!("| defect | target | replay of the corpus | from nothing, s | what it is |\n| --- | --- | --- | ---: | --- |");
    let all: Vec<&Defect> = defects.iter().collect();
    let found = for_each(&all, lanes, |defect| {
        let lane = free.lock().unwrap_or_else(PoisonError::into_inner).pop().unwrap_or(0);
        let row = plant(&root, defect, seconds, jobs, lane);
        free.lock().unwrap_or_else(PoisonError::into_inner).push(lane);
        let (row, found) = row?;
        println!("{row}");
        Ok::<_, String>(found)
    });
    let found: Vec<bool> = found.into_iter().collect::<Done<_>>()?;
    let missed = found.iter().filter(|found| !**found).count();
    println!("\n{} planted, {missed} not found", found.len());
    Ok(missed == 0)
}

/// Plants one defect, and tells whether the corpus and fuzzers that start from nothing find it.
fn plant(root: &Path, defect: &Defect, seconds: u64, jobs: usize, lane: usize) -> Done<(String, bool)> {
    let place = root.join("target").join(format!("planted-{lane}"));
    let (copy, work) = (place.join("copy"), place.join("work"));
    copy_project(root, &copy)?;
    let applied = Command::new("git")
        .arg("apply")
        .arg(&defect.patch)
        .current_dir(&copy)
        // Or it would look for the files in the repository around the copy.
        .env("GIT_CEILING_DIRECTORIES", &place)
        .status();
    if !applied.is_ok_and(|status| status.success()) {
        return Err(format!("{}: the patch does not apply any more", defect.name));
    }
    let fuzzer = build(&copy, &place.join("build"))?;
    let kept = corpus(root, defect.target);
    let replayed = fuzz(&fuzzer, defect.target, &work, &[kept], &["-runs=0".to_string()])?;
    let since = Instant::now();
    let found_after: Mutex<Option<Duration>> = Mutex::new(None);
    let one = |job: usize| {
        let folder = work.join(format!("{}-{job}", defect.name));
        let _ = fs::remove_dir_all(&folder);
        // Short turns, so that all stop soon after one has found it.
        for turn in 0.. {
            let left = Duration::from_secs(seconds).saturating_sub(since.elapsed()).as_secs();
            if left == 0 || found_after.lock().unwrap_or_else(PoisonError::into_inner).is_some() {
                return;
            }
            let options =
                [format!("-max_total_time={}", left.min(5)), format!("-seed={}", 1 + job * 1000 + turn)];
            if fuzz(&fuzzer, defect.target, &work, std::slice::from_ref(&folder), &options)
                .is_ok_and(|f| f.found)
            {
                found_after.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(since.elapsed());
                return;
            }
        }
    };
    std::thread::scope(|scope| {
        for job in 0..jobs {
            let one = &one;
            scope.spawn(move || one(job));
        }
    });
    let after = found_after.into_inner().unwrap_or_else(PoisonError::into_inner);
    let shown = after.map_or("not found".to_string(), |t| format!("{:.1}", t.as_secs_f64()));
    let by_replay = if replayed.found { "found" } else { "not found" };
    let (name, target, about) = (&defect.name, defect.target.name, &defect.about);
    Ok((
        format!("| {name} | {target} | {by_replay} | {shown} | {about} |"),
        after.is_some() || replayed.found,
    ))
}

fn main() -> ExitCode {
    let done = match Cli::parse().what {
        What::List => {
            for target in TARGETS {
                println!("{:12} {}", target.name, target.about);
            }
            Ok(true)
        }
        What::Run { seconds, jobs, targets } => run(seconds, jobs, &targets),
        What::Minimise { targets } => minimise(&targets),
        What::Replay { target, files } => replay(&target, &files),
        What::Cover { missing, targets } => cover(&targets, missing),
        What::Planted { seconds, jobs, lanes, defects } => planted(seconds, jobs, lanes, &defects),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("hopwalk-fuzz: {e}");
            ExitCode::from(2)
        }
    }
}
