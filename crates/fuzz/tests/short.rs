//! A short run over all targets, and proof that a run can fail.

use pumicecleat_fuzz::{Args, Broken, Target, all, run, run_on};

const INPUTS: u64 = 20_000;

fn args(inputs: u64) -> Args {
    Args {
        inputs,
        seed: 7,
        target: None,
        only: None,
    }
}

#[test]
fn no_input_breaks_a_parser() {
    let summary = run(&args(INPUTS));
    assert!(summary.findings.is_empty(), "{summary}");
    assert!(summary.inputs() >= INPUTS, "{summary}");
}

#[test]
fn each_parser_takes_its_samples() {
    for target in all() {
        for sample in target.samples() {
            let taken = target.check(&sample).unwrap();
            let shown = sample.escape_ascii();
            // One stream sample is of other requests and models only.
            let other =
                target.name() == "stream" && sample.starts_with(b"data: {\"id\":\"chatcmpl-r-2");
            assert_eq!(taken, !other, "{}: {shown}", target.name());
        }
    }
}

/// A parser that breaks on some inputs.
struct Faulty {
    name: &'static str,
    check: fn(&[u8]) -> Result<bool, Broken>,
}

impl Target for Faulty {
    fn name(&self) -> &'static str {
        self.name
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        vec![b"data: 1\n\n".to_vec()]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        (self.check)(input)
    }
}

#[test]
fn a_panic_and_a_broken_invariant_are_found_and_made_again() {
    let cases = [
        Faulty {
            name: "panics",
            check: |input| {
                assert!(input.first() != Some(&b'{'), "brace");
                Ok(true)
            },
        },
        Faulty {
            name: "breaks",
            check: |input| match input.len() % 7 {
                0 => Err(Broken {
                    what: "length".to_owned(),
                }),
                _ => Ok(true),
            },
        },
    ];
    for case in cases {
        let name = case.name;
        let targets: [Box<dyn Target>; 1] = [Box::new(case)];
        let found = run_on(&targets, &args(2_000)).findings;
        assert!(!found.is_empty(), "{name}");
        let again = Args {
            only: Some(found[0].number),
            ..args(1)
        };
        let same = run_on(&targets, &again).findings;
        assert_eq!(same.len(), 1, "{name}");
        assert_eq!(same[0].input, found[0].input, "{name}");
        assert_eq!(same[0].cause, found[0].cause, "{name}");
    }
}
