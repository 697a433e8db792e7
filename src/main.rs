//! One server: configuration, signals, and the reducer's thread; or the console's client; or the laboratory.

mod fleet_commands;
mod program_error;
mod signals;

#[cfg(test)]
#[path = "../tests/common/error_samples.rs"]
mod error_samples;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use fleet_commands::FleetWord;
use hopwalk::lab;
use hopwalk::net::{start_runtime, Node};
use hopwalk::settings::{Appliance, Config};
use hopwalk::{acme, console, settings, told};
use program_error::ProgramError;
use tracing_subscriber::EnvFilter;

/// A matchmaking server that keeps its promises under overload.
#[derive(Parser)]
#[command(name = "hopwalk", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Option<Word>,
}

#[derive(Subcommand)]
enum Word {
    /// One server, set up by RELAY_CONFIG and the other RELAY_* variables (the same as no word at all).
    Serve,
    /// Speak to a server on this machine through its console socket.
    Console {
        /// The console's socket; by default the one of the appliance's file.
        #[arg(long)]
        socket: Option<PathBuf>,
        /// Words to say, then leave; none gives a prompt.
        words: Vec<String>,
    },
    /// The fleet that a matcher is a member of, asked at its operators' door.
    Fleet {
        #[command(subcommand)]
        command: FleetWord,
    },
    /// The laboratory: matchers as processes, stand-ins, a fault net, a checker and reports.
    Lab {
        #[command(subcommand)]
        command: LabWord,
    },
}

#[derive(Subcommand)]
enum LabWord {
    /// Plays a scenario (JSON); without one, 3 matchers for 60 s with a burst and a partition from the vault.
    Run {
        scenario: Option<PathBuf>,
        /// Where the history and the matchers' files go; a new folder under the temporary one by default.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Seconds to play instead of the scenario's.
        #[arg(long)]
        seconds: Option<f64>,
        /// The program to start as matchers: this one by default; another version of it to compare.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Judges a history by the four rules; exits 1 if one was broken.
    Check {
        history: PathBuf,
        /// Milliseconds an answer may come after its due time.
        #[arg(long, default_value_t = lab::run::SLACK_MS)]
        slack_ms: u64,
        /// Milliseconds after a key's first try in which a repeat must not run it again.
        #[arg(long, default_value_t = lab::run::KEY_WINDOW_MS)]
        window_ms: u64,
    },
    /// Served share, latency by class, and each second of a history; `--plot` draws it as SVG and PNG.
    Report {
        history: PathBuf,
        /// Writes PLOT.svg and PLOT.png.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Plays many short scenarios with faults drawn from their seeds; exits 1 if a rule was broken in any.
    Sweep {
        #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u64).range(1..=lab::sweep::MOST_SCENARIOS))]
        count: u64,
        /// The first seed; the others follow it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Labs that run at the same time.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=lab::sweep::MOST_AT_ONCE))]
        at_once: u64,
        /// Longer scenarios with more matchers and faults, of the system and its clock too.
        #[arg(long)]
        soak: bool,
        /// The program to start as matchers: this one by default.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Where what broke a rule is kept; a new folder under the temporary one by default.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Switches route versions again and again in a fleet under load, without faults: how far apart the matchers are.
    Switches {
        /// Matchers; the first 3, or from 5 matchers on the first 5, vote.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(3..=32))]
        matchers: u64,
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1000))]
        count: u64,
        /// Pushes another vault to one matcher after the other by SIGHUP instead: the baseline.
        #[arg(long)]
        push: bool,
        /// Kills the leader each time, and tells how long the fleet takes to go on.
        #[arg(long, conflicts_with = "push")]
        kill: bool,
        /// Requests a second in all.
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The program to start as matchers: this one by default.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Where the history and the matchers' files go; a new folder under the temporary one by default.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// What a member of a fleet sends and takes a second, with routes and without: a line a size and state.
    Traffic {
        /// Sizes of the fleet; the first 3, or from 5 matchers on the first 5, vote.
        #[arg(long, value_delimiter = ',', default_value = "3,5,9",
            value_parser = clap::value_parser!(u64).range(3..=32))]
        matchers: Vec<u64>,
        /// How long each state is counted.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=600))]
        seconds: u64,
        /// Requests a second in all, where there is load.
        #[arg(long, default_value_t = 60.0)]
        rate: f64,
        #[command(flatten)]
        lab: LabArgs,
    },
    /// Cuts a fleet apart again and again: how long its members take to agree after each heal.
    Heals {
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(3..=32))]
        matchers: u64,
        /// So many of them are cut off from the others, each time others.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=31))]
        cut: u64,
        /// Seconds of a cut; several are played one after the other.
        #[arg(long, value_delimiter = ',', default_value = "3,10,30",
            value_parser = clap::value_parser!(u64).range(1..=600))]
        hold: Vec<u64>,
        /// Cuts of each length.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
        count: u64,
        #[command(flatten)]
        lab: LabArgs,
    },
    /// Plays whole fleets in a deterministic simulation, with faults and orders drawn from seeds; exits 1 if a rule was broken.
    Simulate {
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=lab::sim::command::MOST))]
        members: u64,
        /// Seeds A to B - 1.
        #[arg(long, default_value = "0..20")]
        seeds: lab::sim::command::Seeds,
        /// Orders alone, without faults.
        #[arg(long)]
        no_faults: bool,
        /// Simulated seconds of a play at most, before all is healed.
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=60))]
        seconds: u64,
        /// Plays at the same time, each on a thread.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=64))]
        at_once: u64,
    },
    /// Plays the fleet's membership in a deterministic simulation; times are in protocol periods.
    Swim {
        /// Sizes of the fleet.
        #[arg(long, value_delimiter = ',', default_value = "3,5,9,100")]
        members: Vec<u32>,
        /// Share of datagrams lost.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Deaths for each size.
        #[arg(long, default_value_t = 100)]
        kills: u64,
        /// Periods in which nobody dies, for each size.
        #[arg(long, default_value_t = 1800)]
        quiet: u32,
        /// Partitions for each size.
        #[arg(long, default_value_t = 10)]
        heals: u64,
    },
    /// Prints the default scenario, or the one that the sweep draws from a seed.
    Scenario {
        #[arg(long)]
        seed: Option<u64>,
    },
}

/// What each lab of a fleet is given.
#[derive(clap::Args)]
struct LabArgs {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The program to start as matchers: this one by default.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Where the histories and the matchers' files go; a new folder under the temporary one by default.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Logs go to standard error; nothing is logged for a single request unless it is asked for.
fn start_log() -> Result<(), ProgramError> {
    let filter = EnvFilter::try_new(settings::log_filter()).map_err(ProgramError::Log)?;
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    Ok(())
}

fn serve() -> Result<(), ProgramError> {
    // Before all else: a signal that nobody waits for yet would end the process.
    let signals = signals::take().map_err(ProgramError::Signals)?;
    start_log()?;
    let config = Config::from_env()?;
    start_runtime();
    let certificate = acme::SharedCertificate::default();
    let node = Node::start(&config, certificate.clone())?;
    signals::watch(signals, node.handle(), config.clone());
    if let Some(acme) = config.appliance.acme.clone() {
        acme::start(acme, certificate.clone())?;
    }
    if let Some(path) = &config.appliance.console {
        let state = std::sync::Arc::new(move || certificate.describe());
        console::start(path, &config, node.handle(), state, node.has_predecessor())?;
    }
    Ok(node.run()?)
}

fn console_client(socket: Option<PathBuf>, words: &[String]) -> Result<(), ProgramError> {
    let socket = match socket {
        Some(socket) => Some(socket),
        None => Appliance::from_env()?.console,
    };
    let socket = socket.ok_or(ProgramError::NoConsole)?;
    Ok(console::client(&socket, words)?)
}

/// Exits with 1 where the matcher refuses, and with 2 where it could not be asked.
fn fleet_command(command: FleetWord) -> Result<bool, ProgramError> {
    match fleet_commands::run(command) {
        Ok(()) => Ok(true),
        Err(e) if e.is_refusal() => {
            eprintln!("hopwalk: {}", told::in_lines(&e));
            Ok(false)
        }
        Err(e) => Err(e.into()),
    }
}

fn lab_folder(out: Option<PathBuf>) -> PathBuf {
    out.unwrap_or_else(|| std::env::temp_dir().join(format!("hopwalk-lab-{}", std::process::id())))
}

fn lab_program(program: Option<PathBuf>) -> Result<PathBuf, ProgramError> {
    program.map_or_else(|| std::env::current_exe().map_err(ProgramError::OwnPath), Ok)
}

fn lab_sweep(
    count: u64,
    seed: u64,
    at_once: u64,
    program: Option<PathBuf>,
    out: Option<PathBuf>,
    draw: fn(u64) -> String,
) -> Result<bool, ProgramError> {
    let (folder, program) = (lab_folder(out), lab_program(program)?);
    let bar = indicatif::ProgressBar::new(count);
    let all = lab::sweep::sweep(seed, count, at_once, &program, &folder, draw, |swept| {
        bar.inc(1);
        match &swept.verdict {
            Ok(verdict) if !verdict.clean() => {
                bar.suspend(|| print!("seed {}: {}\n{}", swept.seed, swept.folder.display(), verdict.table()))
            }
            Err(e) => {
                let told = told::in_lines(e);
                bar.suspend(|| println!("seed {}: {}: {told}", swept.seed, swept.folder.display()))
            }
            _ => {}
        }
    });
    bar.finish_and_clear();
    let idle: Vec<_> = all.iter().filter(|s| s.made_no_progress()).map(|s| s.seed.to_string()).collect();
    if !idle.is_empty() {
        println!("no request was served with seeds {}", idle.join(" "));
    }
    let (mut sent, mut counts) = (0, std::collections::BTreeMap::<&str, u64>::new());
    for verdict in all.iter().filter_map(|s| s.verdict.as_ref().ok()) {
        sent += verdict.sent;
        verdict.counts.iter().for_each(|(rule, n)| *counts.entry(rule).or_default() += n);
    }
    let unclean = all.iter().filter(|s| !s.clean()).count();
    let void = all.iter().filter(|s| s.verdict.as_ref().is_ok_and(lab::check::Verdict::void)).count();
    println!(
        "{} scenarios from seed {seed}, {sent} requests sent, {unclean} not clean, {void} void",
        all.len()
    );
    lab::check::RULES.iter().for_each(|rule| println!("{rule:<20} {:>7}", counts.get(rule).unwrap_or(&0)));
    Ok(unclean == 0)
}

fn lab_swim(members: &[u32], loss: f64, kills: u64, quiet: u32, heals: u64) -> Result<bool, ProgramError> {
    if !(0.0..1.0).contains(&loss) {
        return Err(ProgramError::Loss);
    }
    for n in members {
        if !(2..=lab::sim::MOST_MEMBERS).contains(n) {
            return Err(ProgramError::Members);
        }
        let f = lab::sim::measure(*n, loss, kills, quiet, heals);
        let (suspected, first, all) = (
            lab::sim::mean_and_p99(&f.suspected),
            lab::sim::mean_and_p99(&f.first),
            lab::sim::mean_and_p99(&f.all),
        );
        let healed: Vec<f64> = f.healed.iter().flatten().copied().collect();
        let heal = lab::sim::mean_and_p99(&healed);
        let joined = f.joined.map_or("not settled in 200 periods".into(), |(agreed, settled)| {
            format!("all agreed after {agreed:.1} periods, settled after {settled:.1}")
        });
        println!(
            "{n} members, loss {loss}: {joined}, {:.1} simulated seconds a second; of {kills} deaths, suspected after {:.2} (p99 {:.2}), down by one {:.2} ({:.2}), \
             by all {:.2} ({:.2}); false deaths {} in {quiet} periods; a member a period {:.2} datagrams, {:.0} bytes; \
             {} of {heals} heals agreed, after {:.1} ({:.1})",
            f.pace, suspected.0, suspected.1, first.0, first.1, all.0, all.1, f.false_deaths, f.datagrams, f.bytes,
            healed.len(), heal.0, heal.1
        );
    }
    Ok(true)
}

fn lab_run(
    scenario: Option<PathBuf>,
    out: Option<PathBuf>,
    seconds: Option<f64>,
    program: Option<PathBuf>,
) -> Result<bool, ProgramError> {
    let text = match &scenario {
        Some(path) => {
            let read = std::fs::read_to_string(path);
            read.map_err(|said| ProgramError::File { path: path.clone(), said })?
        }
        None => lab::scenario::DEFAULT.to_string(),
    };
    let mut scenario = lab::scenario::Scenario::parse(&text)?;
    if let Some(seconds) = seconds.filter(|s| *s > 0.0 && *s <= lab::scenario::MOST_SECONDS) {
        scenario.seconds = seconds;
    }
    let (folder, program) = (lab_folder(out), lab_program(program)?);
    let bar = indicatif::ProgressBar::new(scenario.seconds.ceil() as u64);
    bar.set_style(
        indicatif::ProgressStyle::with_template("{elapsed_precise} [{bar:40}] {pos}/{len} s  {msg}")
            .expect("a template that indicatif takes"),
    );
    bar.set_message(format!("{} matchers, {} faults", scenario.matchers, scenario.faults.len()));
    let shown = bar.clone();
    let progress = Box::new(move |done, _| shown.set_position(done));
    let outcome = lab::run::run(&scenario, lab::run::Options { program, folder, progress })?;
    bar.finish_and_clear();
    let (records, _) = lab::history::read(&outcome.history)?;
    let report = lab::report::Report::of(&records);
    println!(
        "{} s, asked {}, sent {}, not sent (load tool full) {}, served share {:.3}",
        outcome.seconds.round(),
        outcome.asked,
        outcome.sent,
        outcome.not_sent,
        report.served_share()
    );
    print!("{}", outcome.verdict.table());
    println!("history: {}", outcome.history.display());
    let plot = outcome.history.with_file_name("plot");
    match lab::report::plot(
        &report,
        &lab::report::windows(&records),
        &plot.with_extension("svg"),
        &plot.with_extension("png"),
    ) {
        Ok(()) => println!("plots: {}.svg and .png", plot.display()),
        Err(e) => eprintln!("hopwalk: the plot: {}", told::in_lines(&e)),
    }
    Ok(outcome.verdict.clean())
}

fn lab_switches(
    asked: lab::routes::series::Asked,
    program: Option<PathBuf>,
    out: Option<PathBuf>,
) -> Result<bool, ProgramError> {
    if !(asked.rate > 0.0 && asked.rate <= lab::scenario::MOST_RATE) {
        return Err(ProgramError::Rate);
    }
    let (folder, program) = (lab_folder(out), lab_program(program)?);
    let bar = indicatif::ProgressBar::new(asked.count);
    let (outcome, deaths) = lab::routes::series::play(&asked, &program, &folder, || bar.inc(1))?;
    bar.finish_and_clear();
    print!("{}", outcome.verdict.table());
    for rule in lab::check_routes::RULES {
        println!("{rule:<20} {:>7}", outcome.routes.counts.get(rule).unwrap_or(&0));
    }
    if let Some(routes) = lab::routes_report::RoutesReport::of(&outcome.records) {
        print!("{}", routes.table());
    }
    for (what, times) in [("an activation was taken", deaths.taken), ("all had switched", deaths.switched)] {
        if let Some((p50, p99, most)) = lab::routes_report::quantiles(times) {
            let [p50, p99, most] = [p50, p99, most].map(|us| us as f64 / 1000.0);
            println!("routes: from the leader's death until {what}: median {p50:.0} ms, 99 % {p99:.0} ms, most {most:.0} ms");
        }
    }
    println!("history: {}", outcome.folder.join("history.jsonl").display());
    // A plain push mixes versions: that is what it is measured for.
    let push = asked.way == lab::routes::series::Way::Push;
    Ok(outcome.verdict.clean() && (push || outcome.routes.breaks() == 0))
}

/// Says where a lab's history is, and what was broken in it.
fn lab_clean(outcome: &lab::routes::Outcome) -> bool {
    if !outcome.clean() {
        println!("{}", outcome.table());
    }
    outcome.clean()
}

fn lab_traffic(matchers: &[u64], seconds: u64, rate: f64, args: LabArgs) -> Result<bool, ProgramError> {
    if !(rate > 0.0 && rate <= lab::scenario::MOST_RATE) {
        return Err(ProgramError::Rate);
    }
    let (folder, program, mut clean) = (lab_folder(args.out), lab_program(args.program)?, true);
    let bar = indicatif::ProgressBar::new(5 * matchers.len() as u64);
    for n in matchers {
        let (matchers, window) = (*n as usize, std::time::Duration::from_secs(seconds));
        let asked = lab::routes::traffic::Asked { matchers, window, rate, seed: args.seed };
        let at = folder.join(n.to_string());
        let played = lab::routes::traffic::play(&asked, &program, &at, || bar.inc(1));
        let (figures, outcomes) = played?;
        print!("{}", figures.table(matchers));
        for outcome in &outcomes {
            clean &= lab_clean(outcome);
        }
    }
    bar.finish_and_clear();
    println!("histories: {}", folder.display());
    Ok(clean)
}

fn lab_heals(
    matchers: u64,
    cut: u64,
    holds: &[u64],
    count: u64,
    args: LabArgs,
) -> Result<bool, ProgramError> {
    if cut >= matchers {
        return Err(ProgramError::Cut);
    }
    let (folder, program, mut clean) = (lab_folder(args.out), lab_program(args.program)?, true);
    let bar = indicatif::ProgressBar::new(count * holds.len() as u64);
    let period = lab::routes::heals::PERIOD.as_secs_f64() * 1000.0;
    for hold in holds {
        let (matchers, cut, seed) = (matchers as usize, cut as usize, args.seed);
        let hold = std::time::Duration::from_secs(*hold);
        let asked = lab::routes::heals::Asked { matchers, cut, hold, count, seed };
        let at = folder.join(hold.as_secs().to_string());
        let played = lab::routes::heals::play(&asked, &program, &at, || bar.inc(1));
        let (heals, outcome) = played?;
        for (what, times) in [("all views are one", heals.views), ("the posture is whole", heals.whole)] {
            let Some((p50, _, most)) = lab::routes_report::quantiles(times) else { continue };
            let (p50, most) = (p50 as f64 / 1000.0, most as f64 / 1000.0);
            println!(
                "heals: {cut} of {matchers} cut off for {} s, {count} times ({} with deaths): from the heal \
                 until {what}: median {p50:.0} ms ({:.1} periods), most {most:.0} ms ({:.1})",
                hold.as_secs(),
                heals.deaths,
                p50 / period,
                most / period
            );
        }
        clean &= lab_clean(&outcome);
    }
    bar.finish_and_clear();
    println!("histories: {}", folder.display());
    Ok(clean)
}

fn lab_check(history: &std::path::Path, slack_ms: u64, window_ms: u64) -> Result<bool, ProgramError> {
    let (records, bad) = lab::history::read(history)?;
    for (line, e) in &bad {
        eprintln!("hopwalk: {}: line {line}: {}", history.display(), told::in_lines(e));
    }
    let verdict = lab::check::check(&records, slack_ms, window_ms);
    print!("{}", verdict.table());
    Ok(verdict.clean() && bad.is_empty())
}

fn lab_report(history: &std::path::Path, plot: Option<PathBuf>) -> Result<bool, ProgramError> {
    let (records, _) = lab::history::read(history)?;
    let report = lab::report::Report::of(&records);
    print!("{}", report.table());
    if let Some(fleet) = lab::fleet_report::FleetReport::of(&records) {
        print!("{}", fleet.table());
    }
    if let Some(routes) = lab::routes_report::RoutesReport::of(&records) {
        print!("{}", routes.table());
    }
    if let Some(plot) = plot {
        let (svg, png) = (plot.with_extension("svg"), plot.with_extension("png"));
        lab::report::plot(&report, &lab::report::windows(&records), &svg, &png)?;
        println!("plots: {} {}", svg.display(), png.display());
    }
    Ok(true)
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        // Help and version go to standard output with status 0; mistakes to standard error with 2.
        Err(e) => {
            let _ = e.print();
            return if e.use_stderr() { ExitCode::from(2) } else { ExitCode::SUCCESS };
        }
    };
    let done = match cli.command {
        None | Some(Word::Serve) => serve().map(|()| true),
        Some(Word::Console { socket, words }) => console_client(socket, &words).map(|()| true),
        Some(Word::Fleet { command }) => fleet_command(command),
        Some(Word::Lab { command }) => match command {
            LabWord::Run { scenario, out, seconds, program } => lab_run(scenario, out, seconds, program),
            LabWord::Check { history, slack_ms, window_ms } => lab_check(&history, slack_ms, window_ms),
            LabWord::Report { history, plot } => lab_report(&history, plot),
            LabWord::Sweep { count, seed, at_once, soak, program, out } => {
                let draw = if soak { lab::sweep::soak_scenario } else { lab::sweep::scenario };
                lab_sweep(count, seed, at_once, program, out, draw)
            }
            LabWord::Simulate { members, seeds, no_faults, seconds, at_once } => {
                Ok(lab::sim::command::simulate(members as usize, seeds, !no_faults, seconds * 1000, at_once))
            }
            LabWord::Swim { members, loss, kills, quiet, heals } => {
                lab_swim(&members, loss, kills, quiet, heals)
            }
            LabWord::Switches { matchers, count, push, kill, rate, seed, program, out } => {
                let way = match (push, kill) {
                    (true, _) => lab::routes::series::Way::Push,
                    (_, true) => lab::routes::series::Way::Death,
                    _ => lab::routes::series::Way::Switch,
                };
                let matchers = matchers as usize;
                lab_switches(lab::routes::series::Asked { matchers, count, way, rate, seed }, program, out)
            }
            LabWord::Traffic { matchers, seconds, rate, lab } => lab_traffic(&matchers, seconds, rate, lab),
            LabWord::Heals { matchers, cut, hold, count, lab } => lab_heals(matchers, cut, &hold, count, lab),
            LabWord::Scenario { seed } => {
                match seed {
                    Some(seed) => println!("{}", lab::sweep::scenario(seed)),
                    None => print!("{}", lab::scenario::DEFAULT),
                }
                Ok(true)
            }
        },
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("hopwalk: {}", told::in_lines(&e));
            ExitCode::from(2)
        }
    }
}
