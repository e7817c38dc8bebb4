//! Cells of a large service, and the cell for which a report waits.

use std::collections::BTreeMap;
use std::time::Duration;

use admission::{CellLayout, PermitOutcome, ReportBuffer, TargetReport};
use ids::{InstanceId, Moment};

fn target(number: usize) -> InstanceId {
    format!("i-{number}").parse().expect("an id")
}

fn targets(count: usize) -> Vec<InstanceId> {
    (0..count).map(target).collect()
}

fn at(millis: u64) -> Moment {
    Moment::START + Duration::from_millis(millis)
}

fn report(target: &InstanceId) -> TargetReport {
    TargetReport { target: target.clone(), outcome: PermitOutcome::Served, load: None }
}

/// Number of targets of each cell.
fn sizes(layout: &CellLayout, targets: &[InstanceId]) -> Vec<usize> {
    let mut sizes: BTreeMap<u32, usize> = (0..layout.count()).map(|cell| (cell, 0)).collect();
    for target in targets {
        let cell = layout.cell_of(target).expect("each target has a cell");
        *sizes.get_mut(&cell).expect("the cell exists") += 1;
    }
    sizes.into_values().collect()
}

/// Guards against a cell with few targets that gets as many requests as the others.
#[test]
fn cells_differ_by_at_most_one_target() {
    for count in 1..400 {
        let targets = targets(count);
        let layout = CellLayout::new(&targets);
        let sizes = sizes(&layout, &targets);
        let (min, max) = (sizes.iter().min().expect("a cell"), sizes.iter().max().expect("a cell"));
        assert!(max - min <= 1 && *max <= 8, "{count} targets: {sizes:?}");
        assert!(layout.cell_of(&target(count)).is_none(), "not listed");
    }
    assert_eq!(CellLayout::new(&[]).count(), 1);
    assert_eq!(CellLayout::with_count(&targets(3), 0).count(), 1);
}

/// Guards against boxes that disagree about the cells because their lists are in another order.
#[test]
fn cells_do_not_depend_on_the_order_of_the_list() {
    let targets = targets(50);
    let reversed: Vec<InstanceId> = targets.iter().rev().cloned().collect();
    let (layout, other) = (CellLayout::new(&targets), CellLayout::with_count(&reversed, 7));
    assert!(targets.iter().all(|target| layout.cell_of(target) == other.cell_of(target)));
}

/// Guards against losing the permits and limits of most targets whenever one of them leaves.
#[test]
fn few_targets_move_when_one_leaves() {
    for count in [20, 50, 200] {
        let mut targets = targets(count);
        let before = CellLayout::new(&targets);
        targets.remove(count / 3);
        let after = CellLayout::with_count(&targets, before.count());
        let moved = targets.iter().filter(|id| before.cell_of(id) != after.cell_of(id)).count();
        assert!(moved <= before.count() as usize, "{count} targets: {moved} moved");
    }
}

/// Guards against reports that reach a home which does not know their target.
#[test]
fn report_waits_for_the_cell_of_its_target() {
    let targets = targets(24);
    let layout = CellLayout::new(&targets);
    let mut buffer = ReportBuffer::default();
    for target in &targets {
        buffer.add(at(0), &layout, report(target));
    }
    for cell in 0..layout.count() {
        let taken = buffer.take(at(10), &layout, cell);
        assert_eq!(taken.len(), 8, "cell {cell}");
        assert!(taken.iter().all(|report| layout.cell_of(&report.target) == Some(cell)));
        assert!(buffer.take(at(10), &layout, cell).is_empty(), "reported once");
    }
}

/// Guards against asks of unbounded size, and against old failures that are reported for a target
/// that has recovered.
#[test]
fn waiting_reports_are_bounded_by_number_and_age() {
    let targets = targets(16);
    let layout = CellLayout::new(&targets);
    let mut buffer = ReportBuffer::default();
    for _ in 0..100 {
        buffer.add(at(0), &layout, report(&targets[0]));
    }
    let cell = layout.cell_of(&targets[0]).expect("a cell");
    let other = targets.iter().find(|id| layout.cell_of(id) != Some(cell)).expect("another cell");
    buffer.add(at(500), &layout, report(other));
    let other_cell = layout.cell_of(other).expect("a cell");
    assert_eq!(buffer.clone().take(at(900), &layout, cell).len(), 16);
    assert!(buffer.take(at(1_000), &layout, cell).is_empty(), "too old");
    assert_eq!(buffer.take(at(1_000), &layout, other_cell).len(), 1, "not blocked by the others");
}
