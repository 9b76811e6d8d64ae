//! One number tells whether two copies are the same, in whatever order their items came.

use lynxmill_configuration::{Configuration, Item};
use lynxmill_storage::combined_digest;

fn copy(items: &[(&str, u64)]) -> Configuration {
    let mut copy = Configuration::default();
    for (key, version) in items {
        copy.merge(&Item {
            key: (*key).to_owned(),
            version: *version,
            ..Item::default()
        });
    }
    copy
}

#[test]
fn copies_with_the_same_items_have_the_same_sum() {
    let one = copy(&[("r/a", 1), ("r/b", 2), ("s/c", 3)]);
    assert_eq!(
        combined_digest(&one),
        combined_digest(&copy(&[("s/c", 3), ("r/b", 2), ("r/a", 1)]))
    );
    for other in [
        &[("r/a", 1), ("r/b", 2)][..],
        &[("r/a", 1), ("r/b", 3), ("s/c", 3)],
        &[],
    ] {
        assert_ne!(combined_digest(&one), combined_digest(&copy(other)));
    }
}
