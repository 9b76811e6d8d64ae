//! Which operation an invocation is, of which slice, and whose: by method, path and heads. What a method or a path
//! says of its own counts for nothing; the settings name every operation.

use xxhash_rust::xxh3::xxh3_64;

/// A path whose parts must be met: a word, `{key}` for the part that names the key, `{}` for any one part, and `*`
/// at the end for whatever follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    parts: Vec<PatternPart>,
    open: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum PatternPart {
    Word(String),
    Any,
    Key,
}

impl Pattern {
    /// # Errors
    /// What is wrong with it.
    pub fn read(text: &str) -> Result<Pattern, String> {
        let Some(rest) = text.strip_prefix('/') else {
            return Err(format!("{text:?} begins with no /"));
        };
        let mut words: Vec<&str> = rest.split('/').collect();
        let open = words.last() == Some(&"*");
        if open {
            words.pop();
        }
        let part = |word: &&str| match *word {
            "{key}" => Ok(PatternPart::Key),
            "{}" => Ok(PatternPart::Any),
            word if word.contains(['{', '}', '*', '?', '#']) => {
                Err(format!("{word:?} in {text:?}"))
            }
            word => Ok(PatternPart::Word(word.to_owned())),
        };
        let parts: Vec<PatternPart> = words.iter().map(part).collect::<Result<_, _>>()?;
        if parts
            .iter()
            .filter(|part| **part == PatternPart::Key)
            .count()
            > 1
        {
            return Err(format!("{text:?} has two keys"));
        }
        Ok(Pattern { parts, open })
    }

    pub fn has_key(&self) -> bool {
        self.parts.contains(&PatternPart::Key)
    }

    /// Whether a path meets it, and the part that is its key.
    fn meets<'a>(&self, path: &'a str) -> Option<Option<&'a str>> {
        let mut words = path.strip_prefix('/')?.split('/');
        let mut key = None;
        for part in &self.parts {
            let word = words.next()?;
            match part {
                PatternPart::Word(known) if known != word => return None,
                PatternPart::Key if word.is_empty() => return None,
                PatternPart::Key => key = Some(word),
                PatternPart::Word(_) | PatternPart::Any => {}
            }
        }
        (self.open || words.next().is_none()).then_some(key)
    }
}

/// Where an invocation's key stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    Path,
    /// A head of this name.
    Head(String),
    /// A head that names the slice itself.
    Slice(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub operation: usize,
    pub method: Option<String>,
    pub pattern: Pattern,
    pub source: Source,
}

/// In the order in which they are looked at: the first that is met counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routes {
    pub routes: Vec<Route>,
    pub slices: usize,
    /// The head that names the client; the peer's address where there is none.
    pub client: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MatchedRoute {
    pub operation: usize,
    pub slice: usize,
    /// Stable for a client, whatever it sends.
    pub client: u64,
}

impl MatchedRoute {
    /// In 0..1, the same for a client and an operation whenever it comes: who is not let in now gains nothing by
    /// coming again at once.
    pub fn draw(&self) -> f64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.client.to_le_bytes());
        bytes[8..].copy_from_slice(&(self.operation as u64).to_le_bytes());
        (xxh3_64(&bytes) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Why an invocation has no way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoute {
    NoRoute,
    NoKey,
    NoSuchSlice,
}

impl NoRoute {
    pub fn code(self) -> &'static str {
        match self {
            NoRoute::NoRoute => "no-route",
            NoRoute::NoKey => "no-key",
            NoRoute::NoSuchSlice => "no-such-slice",
        }
    }
}

impl Routes {
    /// # Errors
    /// Why it has no way.
    pub fn find<'a>(
        &self,
        method: &str,
        path: &str,
        head: impl Fn(&str) -> Option<&'a str>,
        peer: &str,
    ) -> Result<MatchedRoute, NoRoute> {
        let met = self.routes.iter().find_map(|route| {
            let method = route.method.as_ref().is_none_or(|known| known == method);
            route
                .pattern
                .meets(path)
                .filter(|_| method)
                .map(|key| (route, key))
        });
        let (route, key) = met.ok_or(NoRoute::NoRoute)?;
        let slice = match &route.source {
            Source::Path => hashed(key.ok_or(NoRoute::NoKey)?, self.slices),
            Source::Head(name) => hashed(
                head(name)
                    .filter(|key| !key.is_empty())
                    .ok_or(NoRoute::NoKey)?,
                self.slices,
            ),
            Source::Slice(name) => {
                let told = head(name).ok_or(NoRoute::NoKey)?;
                told.parse()
                    .ok()
                    .filter(|slice| *slice < self.slices)
                    .ok_or(NoRoute::NoSuchSlice)?
            }
        };
        let client = self
            .client
            .as_ref()
            .and_then(|name| head(name))
            .unwrap_or(peer);
        Ok(MatchedRoute {
            operation: route.operation,
            slice,
            client: xxh3_64(client.as_bytes()),
        })
    }
}

/// XXH3-64 of the key's bytes, modulo the number of slices.
fn hashed(key: &str, slices: usize) -> usize {
    (xxh3_64(key.as_bytes()) % slices.max(1) as u64) as usize
}
