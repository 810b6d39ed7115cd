//! The command line.

use std::{ffi::OsString, ops::Range, time::Duration};

/// How to call the soak.
pub(crate) const USAGE: &str =
    "soak [--seed N | --seeds A..B] [--seconds S] [--instances N] [--verbose]

  --seed N       one run, everything drawn from N; also to replay a seed that failed
  --seeds A..B   a run for each seed from A to B - 1 (as usual 1..4)
  --seconds S    length of the faults of a run (as usual 12)
  --instances N  instances in the fleet (as usual 4)
  --verbose      print each fault as it happens

Logs of a run's processes are in target/soak/SEED/.";

/// Longest run: an hour of faults.
const SECONDS_MAX: u64 = 3600;

/// Most instances: with their servers and callers a few hundred processes and threads.
const INSTANCES_MAX: usize = 100;

/// What the command line asks for.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Seeds to run.
    pub(crate) seeds: Range<u64>,
    /// Length of the faults of a run.
    pub(crate) faults: Duration,
    /// Instances.
    pub(crate) instances: usize,
    /// Whether faults are printed.
    pub(crate) verbose: bool,
}

impl Options {
    /// Reads the command line.
    pub(crate) fn parse(args: Vec<OsString>) -> anyhow::Result<Options> {
        let mut args = pico_args::Arguments::from_vec(args);
        let seed: Option<u64> = args.opt_value_from_str("--seed")?;
        let range: Option<String> = args.opt_value_from_str("--seeds")?;
        let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(12);
        let instances: usize = args.opt_value_from_str("--instances")?.unwrap_or(4);
        let verbose = args.contains("--verbose");
        let rest = args.finish();
        anyhow::ensure!(rest.is_empty(), "unknown option {rest:?}");
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
        Ok(Options { seeds, faults: Duration::from_secs(seconds), instances, verbose })
    }
}
