//! What a peer has said before: numbers of its present life, the newest and which of those just before it
//! have come.

/// Numbers before the newest that may still come, out of order.
const WIDTH: u64 = 1024;
const WORDS: usize = (WIDTH / 64) as usize;

#[derive(Clone, Debug)]
pub struct ReplayWindow {
    life: u64,
    newest: u64,
    /// A bit for each of the last `WIDTH` numbers, by their remainder.
    seen: [u64; WORDS],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayError {
    /// Of a life before the one that is known; this is that one.
    Life(u64),
    /// It came before, or is older than can be told.
    Number,
}

impl Default for ReplayWindow {
    fn default() -> Self {
        ReplayWindow {
            life: 0,
            newest: 0,
            seen: [0; WORDS],
        }
    }
}

impl ReplayWindow {
    fn bit(number: u64) -> (usize, u64) {
        ((number % WIDTH / 64) as usize, 1 << (number % 64))
    }

    /// Takes a number in, once.
    ///
    /// # Errors
    /// It is old.
    pub fn take(&mut self, life: u64, number: u64) -> Result<(), ReplayError> {
        if life < self.life {
            return Err(ReplayError::Life(self.life));
        }
        if life > self.life {
            *self = ReplayWindow {
                life,
                newest: 0,
                seen: [0; WORDS],
            };
        }
        if number + WIDTH <= self.newest {
            return Err(ReplayError::Number);
        }
        if number > self.newest {
            if number - self.newest >= WIDTH {
                self.seen = [0; WORDS];
            } else {
                for between in self.newest + 1..=number {
                    let (word, bit) = ReplayWindow::bit(between);
                    self.seen[word] &= !bit;
                }
            }
            self.newest = number;
        }
        let (word, bit) = ReplayWindow::bit(number);
        if self.seen[word] & bit != 0 {
            return Err(ReplayError::Number);
        }
        self.seen[word] |= bit;
        Ok(())
    }
}
