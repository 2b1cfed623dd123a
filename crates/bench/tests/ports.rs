//! Addresses that the tests give to the processes they start.

use std::{
    net::TcpListener,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use sedgewall_bench::cluster::{free_address, start};

/// A process that is being started holds all that its parent has open, until
/// it has become another program: also a port that is just being looked at.
#[test]
fn a_free_address_stays_free_while_others_start_processes() {
    let is_over = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let mut command = std::process::Command::new("true");
                    let mut child = start(&mut command).expect("true");
                    child.wait().expect("true");
                }
            });
        }
        let taken = (0..3_000)
            .filter(|_| TcpListener::bind(free_address()).is_err())
            .count();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0);
}
