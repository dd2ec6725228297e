//! Guards the limits of membership and configuration distribution in a simulated fleet.

use medlarlanding_bench::fleet_trials::{MeasureOptions, measure};
use medlarlanding_core::cases;

fn check_limits(size: usize) {
    let options = MeasureOptions {
        size,
        seed: 1,
        text_bytes: 4096,
        steady_s: 10,
        bad_link_s: 30,
        ..MeasureOptions::default()
    };
    let m = measure(&options);
    println!("size {size} seed 1: {m:?}");
    assert!(m.violations.is_empty(), "{:#?}", m.violations);
    for (name, value, limit) in [
        ("change", m.change_s, 4.0),
        ("change with loss", m.change_loss_s, 4.0),
        ("change with the platform down", m.change_down_s, 4.0),
        ("change with a paused watcher", m.change_paused_s, 4.0),
        ("resumed watcher", m.resumed_s, 4.0),
        ("leaving mark", m.mark_s, 5.0),
        ("leaving mark with loss", m.mark_loss_s, 5.0),
    ] {
        assert!(value.is_some_and(|value| value <= limit), "{name}: {value:?} > {limit}");
    }
    assert_eq!((m.false_bad_link, m.false_one_way, m.false_loss), (0, 0, 0));
    assert!(m.sent_max <= 12_000.0 && m.received_max <= 12_000.0, "{m:?}");
    assert!(m.calls_steady <= 2000 && m.calls_outage <= 2000, "{m:?}");
}

cases! { check_limits;
    /// Guards the limits in a deployment of today.
    limits_hold_with_8_instances => 8,
    /// Guards the limits at a size at which updates take several hops.
    limits_hold_with_50_instances => 50,
}
