//! Restores of the store from an older copy during a soak, and partitions around them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::cold_servers::ColdPeriods;
use super::evacuations::StoreOutages;
use crate::site::{LostWrites, OldChannels, SiteState, TestSite};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Chance that a restore accompanies a fault.
const RESTORE_CHANCE: f64 = 0.08;
/// Chance that one instance is cut off from the others during a restore.
const CUT_CHANCE: f64 = 0.3;
/// Age of the copy in milliseconds.
const AGE_MS: std::ops::Range<u64> = 300..6_000;
/// Time for which the store is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 50..700;
/// Time after which servers and operator have written again what is lost, in milliseconds.
const WRITE_MS: std::ops::Range<u64> = 0..1_500;
/// Most calls to the store of one instance in a second: two watches, each of which pauses for 0.1 s after
/// a failure, and reads of a few pages.
const CALLS_PER_SECOND: u64 = 40;

/// Draws restores, apart from the other faults, whose sequence a seed determines.
pub(super) struct RestorePlan {
    random: SmallRng,
    /// What the last restores lost and nobody has written again yet.
    lost: Arc<Mutex<Option<LostWrites>>>,
    writers: Vec<JoinHandle<()>>,
    is_cut: bool,
    /// Restores so far.
    pub count: usize,
}

fn lock(lost: &Mutex<Option<LostWrites>>) -> MutexGuard<'_, Option<LostWrites>> {
    lost.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RestorePlan {
    /// Creates a plan.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed ^ 0x5e57),
            lost: Arc::default(),
            writers: Vec::new(),
            is_cut: false,
            count: 0,
        }
    }

    /// Restores the store now and then. News of cold servers may not arrive before the store is back and
    /// the cut has ended.
    ///
    /// # Errors
    ///
    /// Fails if a cut cannot be written.
    pub(super) fn inject(
        &mut self,
        site: &TestSite,
        instances: usize,
        outages: &mut StoreOutages,
        cold: &mut ColdPeriods,
    ) -> anyhow::Result<()> {
        if std::mem::take(&mut self.is_cut) {
            site.heal_cuts()?;
            cold.note_store(true);
        }
        if !self.random.random_bool(RESTORE_CHANCE) {
            return Ok(());
        }
        if self.random.random_bool(CUT_CHANCE) && instances > 1 {
            let alone = self.random.random_range(0..instances);
            let others: Vec<usize> = (0..instances).filter(|other| *other != alone).collect();
            site.cut_groups([&[alone], &others])?;
            self.is_cut = true;
        }
        let age = Duration::from_millis(self.random.random_range(AGE_MS));
        let away = Duration::from_millis(self.random.random_range(AWAY_MS));
        let delay = Duration::from_millis(self.random.random_range(WRITE_MS));
        let channels = if self.random.random() { OldChannels::Silent } else { OldChannels::Stale };
        cold.note_store(false);
        let mut lost = outages.during(|| site.state.restore_copy(age, away, channels));
        if !self.is_cut {
            cold.note_store(true);
        }
        self.count += 1;
        let mut unwritten = lock(&self.lost);
        if let Some(earlier) = unwritten.take() {
            lost.include(earlier);
        }
        *unwritten = Some(lost);
        drop(unwritten);
        let (state, lost) = (Arc::clone(&site.state), Arc::clone(&self.lost));
        self.writers.push(std::thread::spawn(move || {
            std::thread::sleep(delay);
            if let Some(lost) = lock(&lost).take() {
                state.write_again(&lost);
            }
        }));
        Ok(())
    }

    /// Ends cuts, and waits until everything that was lost is written again.
    ///
    /// # Errors
    ///
    /// Fails if a cut cannot be ended, or a writer panicked.
    pub(super) fn finish(&mut self, site: &TestSite) -> anyhow::Result<()> {
        site.heal_cuts()?;
        for writer in self.writers.drain(..) {
            writer.join().map_err(|_| anyhow::anyhow!("a writer panicked"))?;
        }
        Ok(())
    }
}

/// Returns a violation if instances called the store more often than they may since `started`.
pub(super) fn find_call_flood(
    state: &SiteState,
    instances: usize,
    started: Instant,
) -> Option<String> {
    let seconds = started.elapsed().as_secs() + 1;
    let (calls, most) = (state.store_calls(), instances as u64 * CALLS_PER_SECOND * seconds);
    (calls > most).then(|| format!("{calls} calls to the store in {seconds} s, {most} allowed"))
}
