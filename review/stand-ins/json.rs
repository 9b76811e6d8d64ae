//! As much JSON as the stand-ins read.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn read(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(text, &mut at)?;
        space(text, &mut at);
        (at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(values) => values,
            _ => &[],
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(n) => Some(*n),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(t) => Some(t),
            _ => None,
        }
    }
}

fn space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(text: &[u8], at: &mut usize, what: &[u8]) -> Option<()> {
    text[*at..].starts_with(what).then(|| *at += what.len())
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    take(text, at, b"\"")?;
    let mut bytes = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(bytes).ok();
            }
            b'\\' => {
                let escaped = *text.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let read = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        bytes.extend(read.to_string().bytes());
                    }
                    other => bytes.push(other),
                }
            }
            other => {
                bytes.push(other);
                *at += 1;
            }
        }
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    space(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                space(text, at);
                if take(text, at, b"}").is_some() {
                    return Some(Json::Map(fields));
                }
                let _ = take(text, at, b",");
                space(text, at);
                let name = string(text, at)?;
                space(text, at);
                take(text, at, b":")?;
                fields.push((name, value(text, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut values = Vec::new();
            loop {
                space(text, at);
                if take(text, at, b"]").is_some() {
                    return Some(Json::List(values));
                }
                let _ = take(text, at, b",");
                values.push(value(text, at)?);
            }
        }
        b'"' => string(text, at).map(Json::Text),
        b't' => take(text, at, b"true").map(|()| Json::Bool(true)),
        b'f' => take(text, at, b"false").map(|()| Json::Bool(false)),
        b'n' => take(text, at, b"null").map(|()| Json::Null),
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            let digits = std::str::from_utf8(&text[start..*at]).ok()?;
            digits.parse().ok().map(Json::Number)
        }
    }
}
