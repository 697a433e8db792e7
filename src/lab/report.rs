//! A report over a history: the share served, latency percentiles by class (hdrhistogram), and served, turned
//! away and lost second by second with the faults in force.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hdrhistogram::Histogram;

use super::error::PlotError;
use super::history::{Event, Record};

/// Latencies are kept from 1 ms to 10 minutes at three significant figures.
const MOST_MS: u64 = 600_000;

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Second {
    pub served: u64,
    pub turned_away: u64,
    pub failed: u64,
    pub lost: u64,
    /// Faults and process events of this second.
    pub faults: BTreeSet<String>,
}

/// What a report shows.
#[derive(Debug, Default)]
pub struct Report {
    pub sent: u64,
    pub served: u64,
    /// By class: (answers, p50, p99, p999, most) in milliseconds.
    pub latency: BTreeMap<String, (u64, u64, u64, u64, u64)>,
    pub seconds: Vec<Second>,
}

impl Report {
    pub fn of(records: &[Record]) -> Self {
        let mut report = Self::default();
        let mut sends: HashMap<&str, (u64, &str)> = HashMap::new();
        let mut by_class: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
        let mut answered: BTreeSet<&str> = BTreeSet::new();
        let second = |seconds: &mut Vec<Second>, t_ms: u64| -> usize {
            let s = (t_ms / 1000) as usize;
            if seconds.len() <= s {
                seconds.resize(s + 1, Second::default());
            }
            s
        };
        for Record { t_ms, event } in records {
            match event {
                Event::Send { id, class, .. } => {
                    report.sent += 1;
                    sends.insert(id, (*t_ms, class));
                }
                Event::Answer { id, status, .. } => {
                    answered.insert(id);
                    let s = second(&mut report.seconds, *t_ms);
                    match status {
                        200 => {
                            report.served += 1;
                            report.seconds[s].served += 1;
                        }
                        503 => report.seconds[s].turned_away += 1,
                        _ => report.seconds[s].failed += 1,
                    }
                    if let Some((sent, class)) = sends.get(id.as_str()) {
                        let histogram = by_class.entry(class.to_string()).or_insert_with(|| {
                            Histogram::new_with_bounds(1, MOST_MS, 3).expect("bounds that hdrhistogram takes")
                        });
                        let _ = histogram.record(t_ms.saturating_sub(*sent).clamp(1, MOST_MS));
                    }
                }
                Event::Gone { id, .. } => {
                    answered.insert(id);
                    let s = second(&mut report.seconds, *t_ms);
                    report.seconds[s].lost += 1;
                }
                Event::Fault { kind, target, phase } => {
                    let s = second(&mut report.seconds, *t_ms);
                    report.seconds[s].faults.insert(format!("{kind} {target} {phase}"));
                }
                Event::Process { name, what } if what != "start" || *t_ms > 0 => {
                    let s = second(&mut report.seconds, *t_ms);
                    report.seconds[s].faults.insert(format!("{what} {name}"));
                }
                _ => {}
            }
        }
        for (class, h) in by_class {
            let q = |q: f64| h.value_at_quantile(q);
            report.latency.insert(class, (h.len(), q(0.5), q(0.99), q(0.999), h.max()));
        }
        report
    }

    /// Served of sent.
    pub fn served_share(&self) -> f64 {
        if self.sent == 0 {
            return 0.0;
        }
        self.served as f64 / self.sent as f64
    }

    pub fn table(&self) -> String {
        let mut out =
            format!("sent {}  served {}  share {:.3}\n", self.sent, self.served, self.served_share());
        out += "class              answers     p50     p99   p99.9     max  (ms)\n";
        for (class, (n, p50, p99, p999, max)) in &self.latency {
            out += &format!("{class:<16} {n:>9} {p50:>7} {p99:>7} {p999:>7} {max:>7}\n");
        }
        out += "second  served  turned away  failed  lost  events\n";
        for (s, second) in self.seconds.iter().enumerate() {
            let events: Vec<_> = second.faults.iter().cloned().collect();
            out += &format!(
                "{s:>6} {:>7} {:>12} {:>7} {:>5}  {}\n",
                second.served,
                second.turned_away,
                second.failed,
                second.lost,
                events.join(", ")
            );
        }
        out
    }
}

/// Picks one figure of a second.
type Pick = fn(&Second) -> u64;

/// Windows of faults and pauses, in seconds, from a history: (from, to, what).
pub fn windows(records: &[Record]) -> Vec<(f64, f64, String)> {
    let mut open: HashMap<String, f64> = HashMap::new();
    let mut all = Vec::new();
    let end = records.last().map_or(0.0, |r| r.t_ms as f64 / 1000.0);
    for Record { t_ms, event } in records {
        let t = *t_ms as f64 / 1000.0;
        let (name, begins) = match event {
            Event::Fault { kind, target, phase } if kind == "reset" => {
                all.push((t, t + 0.1, format!("reset {target}")));
                continue;
            }
            Event::Fault { target, phase, .. } => (format!("fault {target}"), phase == "start"),
            Event::Process { name, what } if what == "pause" || what == "continue" => {
                (format!("pause {name}"), what == "pause")
            }
            Event::Process { name, what } if what == "kill" || what == "start" => {
                (format!("down {name}"), what == "kill")
            }
            _ => continue,
        };
        match (begins, open.remove(&name)) {
            (true, None) => drop(open.insert(name, t)),
            (true, Some(from)) => {
                all.push((from, t, name.clone()));
                open.insert(name, t);
            }
            (false, Some(from)) => all.push((from, t, name)),
            (false, None) => {}
        }
    }
    all.extend(open.into_iter().map(|(name, from)| (from, end, name)));
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// Draws served, turned away and lost a second, with the windows of faults shaded, as SVG (with labels) and as
/// PNG (lines only: the bitmap backend has no fonts here).
pub fn plot(
    report: &Report,
    windows: &[(f64, f64, String)],
    svg: &std::path::Path,
    png: &std::path::Path,
) -> Result<(), PlotError> {
    use plotters::prelude::*;
    fn draw<DB: DrawingBackend>(
        root: DrawingArea<DB, plotters::coord::Shift>,
        report: &Report,
        windows: &[(f64, f64, String)],
        labels: bool,
        path: &std::path::Path,
    ) -> Result<(), PlotError>
    where
        DB::ErrorType: 'static,
    {
        let e = |e: DrawingAreaErrorKind<DB::ErrorType>| PlotError::Draw {
            path: path.to_path_buf(),
            said: e.to_string(),
        };
        root.fill(&WHITE).map_err(e)?;
        let seconds = report.seconds.len().max(1) as f64;
        let top = report
            .seconds
            .iter()
            .map(|s| s.served.max(s.turned_away).max(s.lost).max(s.failed))
            .max()
            .unwrap_or(1)
            .max(1) as f64
            * 1.1;
        let mut builder = ChartBuilder::on(&root);
        builder.margin(12);
        if labels {
            builder
                .caption("served, turned away and lost a second; faults shaded", ("sans-serif", 18))
                .x_label_area_size(30)
                .y_label_area_size(48);
        }
        let mut chart = builder.build_cartesian_2d(0.0..seconds, 0.0..top).map_err(e)?;
        if labels {
            chart.configure_mesh().x_desc("second").y_desc("answers").draw().map_err(e)?;
        }
        let shade = RGBColor(200, 200, 200).mix(0.5).filled();
        chart
            .draw_series(
                windows.iter().map(|(from, to, _)| Rectangle::new([(*from, 0.0), (*to, top)], shade)),
            )
            .map_err(e)?;
        let line = |pick: fn(&Second) -> u64| -> Vec<(f64, f64)> {
            report
                .seconds
                .iter()
                .enumerate()
                .map(|(s, second)| (s as f64 + 0.5, pick(second) as f64))
                .collect()
        };
        let series: [(Pick, RGBColor, &str); 3] = [
            (|s| s.served, RGBColor(0, 140, 60), "served"),
            (|s| s.turned_away, RGBColor(230, 140, 0), "turned away"),
            (|s| s.lost + s.failed, RGBColor(200, 0, 0), "lost or failed"),
        ];
        for (pick, color, name) in series {
            let drawn = chart.draw_series(LineSeries::new(line(pick), color.stroke_width(2))).map_err(e)?;
            if labels {
                drawn
                    .label(name)
                    .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2)));
            }
        }
        if labels {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw()
                .map_err(e)?;
        }
        root.present().map_err(e)
    }
    draw(SVGBackend::new(svg, (960, 480)).into_drawing_area(), report, windows, true, svg)?;
    draw(BitMapBackend::new(png, (960, 480)).into_drawing_area(), report, windows, false, png)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn seconds_and_percentiles_come_from_the_history() {
        let send = |t, id: &str| Record {
            t_ms: t,
            event: Event::Send {
                id: id.into(),
                to: "m1".into(),
                class: "queue-status".into(),
                key: String::new(),
                due_ms: t + 1500,
            },
        };
        let answer = |t, id: &str, status| Record {
            t_ms: t,
            event: Event::Answer { id: id.into(), status, passed: None },
        };
        let records = vec![
            send(0, "a"),
            send(10, "b"),
            send(900, "c"),
            answer(50, "a", 200),
            answer(1010, "b", 503),
            Record { t_ms: 1500, event: Event::Gone { id: "c".into(), why: "closed".into() } },
        ];
        let report = Report::of(&records);
        assert_eq!((report.sent, report.served), (3, 1));
        assert_eq!(report.seconds[0].served, 1);
        assert_eq!((report.seconds[1].turned_away, report.seconds[1].lost), (1, 1));
        let fault = |t, phase: &str| Record {
            t_ms: t,
            event: Event::Fault { kind: "cut".into(), target: "m1-vault".into(), phase: phase.into() },
        };
        let pause = Record { t_ms: 3000, event: Event::Process { name: "m1".into(), what: "pause".into() } };
        let shaded = windows(&[fault(1000, "start"), fault(2000, "end"), pause, fault(4000, "start")]);
        let shaded: Vec<_> = shaded.into_iter().map(|(a, b, _)| (a, b)).collect();
        assert_eq!(
            shaded,
            [(1.0, 2.0), (3.0, 4.0), (4.0, 4.0)],
            "what is open at the end ends with the history"
        );
        let (n, p50, _, _, max) = report.latency["queue-status"];
        assert_eq!((n, p50), (2, 50));
        assert!((999..=1001).contains(&max), "{max}");
    }
}
