//! Checks that the documented result codes match the code.

use std::collections::BTreeSet;

use magnolia_types::{Ran, ResultCode};

const PAGE: &str = include_str!("../../../docs/RESULT-CODES.md");

/// Guards against a code that callers cannot look up, and against outdated documentation.
#[test]
fn the_page_lists_every_code() {
    let rows = PAGE.lines().filter(|line| {
        let cell = line.split('|').nth(1).map(str::trim);
        cell.is_some_and(|cell| cell.parse::<u16>().is_ok())
    });
    let listed: Vec<String> = rows
        .map(|row| {
            let cells: Vec<&str> = row.split('|').map(str::trim).collect();
            assert!(
                cells.len() == 8 && cells[5..7].iter().all(|cell| !cell.is_empty()),
                "{row}"
            );
            cells[1..5].join(" ")
        })
        .collect();
    let expected = ResultCode::ALL.iter().map(|code| {
        let ran = match code.ran() {
            Ran::Yes => "yes",
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        let (number, name) = (code.number(), code.name());
        format!("{number} {name} {} {ran}", code.http_status())
    });
    assert_eq!(listed, expected.collect::<Vec<_>>());
}

/// Guards against two codes with the same number or name, and against codes out of order.
#[test]
fn numbers_and_names_are_unique_and_in_order() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let names: BTreeSet<&str> = ResultCode::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(names.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
}

/// Guards against callers who are told that a cancelled job has not run although some of its tasks
/// had started, and who submit it again.
#[test]
fn a_cancelled_job_is_not_said_to_be_unrun() {
    assert_eq!(ResultCode::Cancelled.ran(), Ran::Unknown);
}
