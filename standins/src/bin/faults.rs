//! Runs the fault matrix and prints the result of each cell.

use std::{process, time};

use tokio::task;

use standins::{
    fleet, history,
    matrix::{Cell, Fault, Step},
};

const HELP: &str = "\
Runs every step with every fault in real processes, and checks the recorded histories.

Usage: faults [--seed N] [--jobs N] [--only STEP/FAULT[+FAULT]] [--pairs N]

  --seed N    The seed of prompt lengths, routes and delays; 1 by default
  --jobs N    The number of cells that run concurrently; 3 by default
  --only C    Runs one cell, such as run-once/answer-lost; the faults of a pair are named in
              the order of the matrix
  --pairs N   Runs N pairs of faults, selected by the seed, after the single faults

Exit codes: 0 no violation, 1 a violation or a cell that failed to run, 2 invalid arguments.
";

/// The result of running a cell.
enum CellResult {
    Passed,
    Violated(Vec<history::Violation>),
    NotRun(String),
}

struct Arguments {
    seed: u64,
    jobs: usize,
    only: Option<String>,
    pairs: usize,
}

impl TryFrom<pico_args::Arguments> for Arguments {
    type Error = pico_args::Error;

    fn try_from(mut args: pico_args::Arguments) -> Result<Arguments, pico_args::Error> {
        Ok(Arguments {
            seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
            jobs: args.opt_value_from_str("--jobs")?.unwrap_or(3),
            only: args.opt_value_from_str("--only")?,
            pairs: args.opt_value_from_str("--pairs")?.unwrap_or(0),
        })
    }
}

fn cells(arguments: &Arguments) -> Vec<Cell> {
    let single_faults = Step::ALL.into_iter().flat_map(|step| {
        Fault::ALL.into_iter().map(move |fault| Cell {
            step,
            faults: vec![fault],
        })
    });
    let mut cells: Vec<_> = single_faults.collect();
    cells.extend(pairs(arguments));
    if let Some(only) = &arguments.only {
        cells.retain(|cell| cell.to_string() == *only);
    }
    cells
}

/// Returns the pairs of faults selected by the seed, or all pairs if `--only` is given.
fn pairs(arguments: &Arguments) -> Vec<Cell> {
    use rand::{SeedableRng as _, seq::SliceRandom as _};

    let mut pairs = Vec::new();
    for step in Step::ALL {
        for (index, first) in Fault::ALL.into_iter().enumerate().skip(1) {
            for second in Fault::ALL.into_iter().skip(index + 1) {
                pairs.push(Cell {
                    step,
                    faults: vec![first, second],
                });
            }
        }
    }
    pairs.retain(|cell| cell.skip_reason().is_none());
    if arguments.only.is_some() {
        return pairs;
    }
    pairs.shuffle(&mut rand::rngs::StdRng::seed_from_u64(arguments.seed));
    pairs.truncate(arguments.pairs);
    pairs
}

async fn run(cell: &Cell, seed: u64) -> CellResult {
    if let Some(reason) = cell.skip_reason() {
        return CellResult::NotRun(reason.to_owned());
    }
    match cell.check(seed).await {
        Ok(violations) if violations.is_empty() => CellResult::Passed,
        Ok(violations) => CellResult::Violated(violations),
        Err(e) => CellResult::NotRun(format!("error: {e}")),
    }
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return process::ExitCode::SUCCESS;
    }
    let Ok(arguments) = Arguments::try_from(args) else {
        eprint!("{HELP}");
        return process::ExitCode::from(2);
    };
    if let Err(e) = fleet::build_programs() {
        eprintln!("faults: {e}");
        return process::ExitCode::FAILURE;
    }
    let cells = cells(&arguments);
    if cells.is_empty() {
        eprintln!("faults: no cell matches --only\n{HELP}");
        return process::ExitCode::from(2);
    }
    let tally = task::LocalSet::new()
        .run_until(run_all(&arguments, cells))
        .await;
    println!(
        "seed {}: {} held, {} broken, {} not run",
        arguments.seed, tally.passed, tally.violated, tally.not_run
    );
    if tally.violated + tally.errors == 0 {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    }
}

/// The number of cells with each result.
#[derive(Default)]
struct Tally {
    passed: usize,
    violated: usize,
    not_run: usize,
    /// Cells that failed to run, which `not_run` includes, and cells whose task panicked, which it
    /// does not.
    errors: usize,
}

impl Tally {
    fn record(&mut self, cell: &Cell, result: CellResult, elapsed: time::Duration) {
        let seconds = elapsed.as_secs();
        let cell = cell.to_string();
        match result {
            CellResult::Passed => {
                self.passed += 1;
                println!("{cell:<36} held      {seconds:>3} s");
            }
            CellResult::Violated(violations) => {
                self.violated += 1;
                println!("{cell:<36} BROKEN    {seconds:>3} s");
                violations
                    .iter()
                    .for_each(|violation| println!("    {violation}"));
            }
            CellResult::NotRun(reason) => {
                self.not_run += 1;
                self.errors += usize::from(reason.starts_with("error"));
                println!("{cell:<36} not run   {reason}");
            }
        }
    }
}

/// Runs the cells, at most `jobs` of them concurrently.
async fn run_all(arguments: &Arguments, cells: Vec<Cell>) -> Tally {
    let mut tally = Tally::default();
    let mut remaining = cells.into_iter();
    let mut running = task::JoinSet::new();
    loop {
        while running.len() < arguments.jobs.max(1) {
            let Some(cell) = remaining.next() else { break };
            let seed = arguments.seed;
            running.spawn_local(async move {
                let started = time::Instant::now();
                let result = run(&cell, seed).await;
                (cell, result, started.elapsed())
            });
        }
        match running.join_next().await {
            Some(Ok((cell, result, elapsed))) => tally.record(&cell, result, elapsed),
            Some(Err(_)) => tally.errors += 1,
            None => return tally,
        }
    }
}
