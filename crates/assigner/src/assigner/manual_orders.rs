//! Orders that operators give by hand, and what they ask for.

use super::Assigner;
use crate::facts::Seen;
use crate::kept::Slice;

impl Assigner {
    /// An operator's word on a server: whether it is out of use, and a factor for its size.
    pub fn by_hand(&mut self, task: u32, out: bool, weight: f64) {
        let i = self.fleet.at(task, self.now);
        self.fleet.size[i] *= weight / self.fleet.weight[i];
        (self.fleet.out[i], self.fleet.weight[i]) = (out, weight);
    }

    /// An operator's word that a server is not to be judged by what it answers, or is again.
    pub fn trust(&mut self, task: u32, trusted: bool) {
        let i = self.fleet.at(task, self.now);
        if std::mem::replace(&mut self.fleet.trusted[i], trusted) != trusted {
            self.fleet.forget_health(i);
        }
    }

    /// Enough other assigners found that a server answers no one, or do so no longer.
    pub fn doubted(&mut self, task: u32, doubted: bool) {
        let i = self.fleet.at(task, self.now);
        self.fleet.doubted[i] = doubted;
    }

    /// Guards proxies against an operator who takes out the last warm server that can be used.
    pub fn forbids_out(&self, task: u32) -> Option<&'static str> {
        let other = |i: usize| self.fleet.task[i] != task && self.warmth(i) >= 1.0;
        (!self.usables().any(other)).then_some("rule 1: no other warm server can be used")
    }

    /// Why an operator can't have a slice at a server.
    pub fn forbids_wish(&self, tbl: usize, task: u32) -> Option<&'static str> {
        let heat = self.heat.get(tbl).copied().unwrap_or(0.0);
        let Some(i) = self.all().find(|&i| self.fleet.task[i] == task) else {
            return Some("the server can't be used");
        };
        match () {
            () if !self.slices[tbl].mine => Some("the slice is in other hands"),
            () if self.leaves(i) => Some("rule 3: the server is to be left"),
            () if !self.usable(i) => Some("the server can't be used"),
            () if self.load.len() > i && !self.fits(i, heat) => {
                Some("rule 4: the server is too cold for it")
            }
            () => None,
        }
    }

    /// An operator wants a slice at a server; it moves as any other does, unless that can't be.
    pub fn wish(&mut self, tbl: usize, task: u32) -> Option<&'static str> {
        let no = self.forbids_wish(tbl, task);
        if no.is_none() {
            self.slices[tbl].wish = Some(self.fleet.at(task, self.now));
        }
        no
    }

    /// What is known of a server, for those who look.
    pub fn seen(&self, task: u32) -> Option<Seen> {
        let i = self.all().find(|&i| self.fleet.task[i] == task)?;
        Some(Seen {
            standing: self.fleet.standing[i],
            out: self.fleet.out[i],
            trusted: self.fleet.trusted[i],
            weight: self.fleet.weight[i],
            suspect: self.fleet.suspect[i].is_some(),
            admit: self.fleet.admit[i],
            load: self.load.get(i).copied().unwrap_or(0.0),
        })
    }

    /// Whether a slice is on its way, and whether a wish for it is still open.
    pub fn moves(&self, tbl: usize) -> (bool, bool) {
        (
            self.slices[tbl].handover.is_some(),
            self.slices[tbl].wish.is_some(),
        )
    }

    pub fn owner(&self, tbl: usize) -> Option<u32> {
        self.slices[tbl].owner.map(|i| self.fleet.task[i])
    }

    /// Slices in charge that a server owns, or owned before a move that is not over.
    pub fn owned(&self, task: u32) -> usize {
        let of = |s: &&Slice| s.mine && s.owner.is_some_and(|i| self.fleet.task[i] == task);
        self.slices.iter().filter(of).count()
    }
}
