//! The fuzzer: libFuzzer around the target that `HOPWALK_TARGET` names. The command `hopwalk-fuzz` builds and
//! starts it; without its instrumentation it does nothing.

#![cfg_attr(fuzzing, no_main)]

#[cfg(fuzzing)]
mod instrumented {
    use std::sync::OnceLock;

    use object::{Object, ObjectSection};

    use hopwalk_fuzz::targets::target;
    use hopwalk_fuzz::Target;

    static CHOSEN: OnceLock<&'static Target> = OnceLock::new();

    /// Where a section of this program stands in memory, and its length. The linker's own names for the ends of these
    /// tables must be left to the fuzzer: where they are named here too, it is handed empty tables.
    fn section(name: &str) -> Option<(usize, usize, usize)> {
        let program = std::fs::read("/proc/self/exe").ok()?;
        let file = object::File::parse(&*program).ok()?;
        let section = file.section_by_name(name)?;
        let maps = std::fs::read_to_string("/proc/self/maps").ok()?;
        let exe = std::fs::read_link("/proc/self/exe").ok()?;
        let first = maps.lines().find(|line| line.ends_with(&*exe.to_string_lossy()))?;
        let base = usize::from_str_radix(first.split('-').next()?, 16).ok()?;
        Some((base, base + section.address() as usize, section.size() as usize))
    }

    /// The tables that the compiler made: a counter and a pair of words for each place in the code.
    static TABLES: OnceLock<(usize, &'static [u8], &'static [[usize; 2]])> = OnceLock::new();

    fn tables() -> (usize, &'static [u8], &'static [[usize; 2]]) {
        *TABLES.get_or_init(|| {
            let (base, counters, len) = section("__sancov_cntrs").expect("counters");
            let (_, places, bytes) = section("__sancov_pcs").expect("places");
            assert_eq!(len * 16, bytes, "a pair of words a counter");
            // SAFETY: the sections are there as long as the program, and nothing else runs while they are read.
            unsafe {
                let counters = std::slice::from_raw_parts(counters as *const u8, len);
                (base, counters, std::slice::from_raw_parts(places as *const [usize; 2], len))
            }
        })
    }

    /// Writes each place in the code, and whether it was reached, to the file that `HOPWALK_COVER` names.
    fn note_cover(seen: &mut Vec<bool>) {
        let (base, counters, places) = tables();
        seen.resize(counters.len(), false);
        let new = counters.iter().zip(seen.iter_mut()).filter(|(c, s)| **c > 0 && !**s);
        let new = new.fold(0, |n, (_, s)| {
            *s = true;
            n + 1
        });
        if let Some(path) = std::env::var_os("HOPWALK_COVER").filter(|_| new > 0) {
            let lines = places
                .iter()
                .zip(seen.iter())
                .map(|([pc, _], s)| format!("{:x} {}\n", pc - base, u8::from(*s)));
            let _ = std::fs::write(path, lines.collect::<String>());
        }
    }

    libfuzzer_sys::fuzz_target!(
        init: {
            let name = std::env::var("HOPWALK_TARGET").expect("HOPWALK_TARGET names a target");
            let _ = CHOSEN.set(target(&name).expect("a known target"));
        },
        |bytes: &[u8]| {
            let chosen = CHOSEN.get().expect("set at the start");
            (chosen.run)(bytes);
            if std::env::var_os("HOPWALK_COVER").is_some() {
                static SEEN: std::sync::Mutex<Vec<bool>> = std::sync::Mutex::new(Vec::new());
                note_cover(&mut SEEN.lock().expect("one thread"));
            }
        }
    );
}

#[cfg(not(fuzzing))]
fn main() {
    eprintln!("built without instrumentation; `cargo run -p hopwalk-fuzz -- run` builds it as it must be");
    std::process::exit(2);
}
