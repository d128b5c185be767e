//! Tests that the example files are valid and have the size that the documentation states.

use magnolia_config::ConfigDocument;
use magnolia_types::ResourceVector;

/// Checks an example file. Guards against an example that readers of the documentation cannot
/// publish.
fn check_example(text: &str, capacity: ResourceVector, customers: usize, classes: usize) {
    let document = ConfigDocument::from_toml(text).unwrap_or_else(|errors| panic!("{errors}"));
    let workers: Vec<ResourceVector> = document
        .workers_of("p0")
        .map(|(_, _, capacity)| capacity)
        .collect();
    assert_eq!(workers, vec![capacity; 50]);
    assert!(document.racks.iter().all(|rack| rack.workers.len() <= 8));
    assert_eq!(document.racks.len(), 7);
    assert_eq!(document.data_centres.len(), 3);
    let blocks = &document.executor_blocks;
    assert!(
        blocks
            .iter()
            .all(|block| (block.slots, block.connections) == (8, 64))
    );
    assert_eq!(
        blocks
            .iter()
            .map(|block| block.executors.len())
            .sum::<usize>(),
        50
    );
    assert_eq!(document.customers.len(), customers);
    assert_eq!(document.classes.len(), classes);
}

macro_rules! example_cases {
    ($($name:ident: $text:expr, $capacity:expr, $customers:literal, $classes:literal;)*) => {
        $(
            #[test]
            fn $name() {
                check_example($text, $capacity, $customers, $classes);
            }
        )*
    };
}

example_cases! {
    board: include_str!("../../../examples/board.toml"),
        ResourceVector::new(32_000, 128 << 10, 0), 3, 5;
    hradecky: include_str!("../../../examples/hradecky.toml"),
        ResourceVector::new(64_000, 256 << 10, 0), 4, 4;
}
