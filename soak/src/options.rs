//! The command line.

use std::{ffi::OsString, ops::Range, path::PathBuf, time::Duration};

/// Usage text.
pub(crate) const USAGE: &str =
    "soak [--seed N | --seeds A..B] [--seconds S] [--instances N] [--dir D] [--verbose]

  --seed N       one run whose random choices follow from N; also replays a failed seed
  --seeds A..B   a run for each seed from A to B - 1 (default 1..4)
  --seconds S    time in which faults are injected in a run (default 12)
  --instances N  instances in the fleet (default 4)
  --dir D        folder of the runs, one at a time for each seed (default target/soak)
  --verbose      print each event as it is applied

The processes of a run log to D/SEED/.";

/// Folder of the runs if none is given.
const DIR_DEFAULT: &str = "target/soak";

/// Longest time in which faults are injected, in seconds.
const SECONDS_MAX: u64 = 3600;

/// Maximum number of instances: with their servers and callers they make a few hundred processes and threads.
const INSTANCES_MAX: usize = 100;

/// Parsed command line.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Seeds, with one run each.
    pub(crate) seeds: Range<u64>,
    /// Time in which faults are injected in a run.
    pub(crate) fault_time: Duration,
    /// Number of instances.
    pub(crate) instances: usize,
    /// Folder of the runs, which has one for each seed.
    pub(crate) dir: PathBuf,
    /// Whether events are printed.
    pub(crate) verbose: bool,
}

impl Options {
    /// Prints a line, if events are printed.
    pub(crate) fn print(&self, line: impl FnOnce() -> String) {
        if self.verbose {
            println!("  {}", line());
        }
    }

    /// Parses the command line.
    pub(crate) fn parse(args: Vec<OsString>) -> anyhow::Result<Options> {
        let mut args = pico_args::Arguments::from_vec(args);
        let seed: Option<u64> = args.opt_value_from_str("--seed")?;
        let range: Option<String> = args.opt_value_from_str("--seeds")?;
        let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(12);
        let instances: usize = args.opt_value_from_str("--instances")?.unwrap_or(4);
        let dir: Option<PathBuf> = args.opt_value_from_str("--dir")?;
        let verbose = args.contains("--verbose");
        let unknown = args.finish();
        anyhow::ensure!(unknown.is_empty(), "unknown option {unknown:?}");
        anyhow::ensure!((1..=SECONDS_MAX).contains(&seconds), "--seconds takes 1 to {SECONDS_MAX}");
        anyhow::ensure!(
            (1..=INSTANCES_MAX).contains(&instances),
            "--instances takes 1 to {INSTANCES_MAX}"
        );
        let seeds = match (seed, range) {
            (Some(_), Some(_)) => anyhow::bail!("give --seed or --seeds, not both"),
            (Some(seed), None) => seed..seed + 1,
            (None, None) => 1..4,
            (None, Some(text)) => {
                let parts = text.split_once("..").map(|(a, b)| (a.parse(), b.parse()));
                let Some((Ok(first), Ok(end))) = parts else {
                    anyhow::bail!("--seeds takes a range such as 1..51, not {text:?}");
                };
                first..end
            }
        };
        anyhow::ensure!(!seeds.is_empty(), "the range of seeds is empty");
        let fault_time = Duration::from_secs(seconds);
        let dir = dir.unwrap_or_else(|| DIR_DEFAULT.into());
        Ok(Options { seeds, fault_time, instances, dir, verbose })
    }
}
