//! From text to syntax. A fault in a field costs that field: the rest is read on.

use std::fmt;
use std::ops::Range;

use chumsky::error::{RichPattern, RichReason};
use chumsky::input::ValueInput;
use chumsky::prelude::*;

use crate::fault::SettingsError;
use crate::syntax::{Expr, Field, Node, Operator, Record, UNITS, Unit};

#[derive(Clone, Debug, PartialEq)]
enum Token {
    Number(f64, Option<Unit>),
    Text(String),
    Name(String),
    Sign(&'static str),
    /// A comment on a line of its own.
    Comment(String),
    End,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Token::Number(number, unit) => {
                write!(f, "{number}{}", unit.map_or("", |unit| unit.name))
            }
            Token::Text(text) => write!(f, "{text:?}"),
            Token::Name(name) => f.write_str(name),
            Token::Sign(sign) => write!(f, "`{sign}`"),
            Token::Comment(_) => f.write_str("a comment"),
            Token::End => f.write_str("the end of the line"),
        }
    }
}

/// Brackets within brackets.
const DEEPEST: usize = 32;

type ParseErrors<'a, T> = extra::Err<Rich<'a, T>>;
type Parsed = (Token, SimpleSpan);

const SIGNS: [&str; 22] = [
    "...", ">=", "<=", "!=", "=~", ">", "<", "{", "}", "[", "]", "(", ")", ":", ",", "?", "&", "|",
    "*", "@", "#", ".",
];

fn lexer<'a>() -> impl Parser<'a, &'a str, Vec<Parsed>, ParseErrors<'a, char>> {
    let digits = text::digits(10);
    let number = just('-')
        .or_not()
        .then(digits)
        .then(just('.').then(digits).or_not())
        .then(
            one_of("eE")
                .then(one_of("+-").or_not())
                .then(digits)
                .or_not(),
        )
        .to_slice()
        .then(text::ident().or_not())
        .validate(|(number, unit): (&str, Option<&str>), e, emitter| {
            let known = unit.and_then(Unit::named);
            if let (Some(unit), None) = (unit, known) {
                let units = UNITS.map(|unit| unit.name).join(", ");
                emitter.emit(Rich::custom(e.span(), format!("no unit `{unit}`: {units}")));
            }
            Token::Number(number.parse().unwrap_or(f64::NAN), known)
        });
    let escape = just('\\').then(any()).ignored();
    let quoted = just('"')
        .then(escape.or(none_of("\"\\\n").ignored()).repeated())
        .then(just('"').or_not())
        .to_slice()
        .validate(|quoted: &str, e, emitter| {
            let text = serde_json::from_str(quoted);
            if text.is_err() {
                emitter.emit(Rich::custom(
                    e.span(),
                    "no text in quotes: it ends nowhere, or has an odd escape",
                ));
            }
            Token::Text(text.unwrap_or_default())
        });
    let name = any()
        .filter(|c: &char| c.is_ascii_alphabetic() || *c == '_')
        .then(
            any()
                .filter(|c: &char| c.is_ascii_alphanumeric() || *c == '_')
                .repeated(),
        )
        .to_slice()
        .map(|name: &str| Token::Name(name.to_owned()));
    let sign = choice(SIGNS.map(|sign| just(sign).to(Token::Sign(sign))));
    let comment = just("//")
        .ignore_then(none_of('\n').repeated().to_slice())
        .map(|text: &str| Token::Comment(text.trim().to_owned()));
    let end = just('\n').to(Token::End);
    choice((comment, end, number, quoted, name, sign))
        .map_with(|token, e| (token, e.span()))
        .padded_by(one_of(" \t\r").repeated())
        .recover_with(skip_then_retry_until(
            any().ignored(),
            chumsky::prelude::end(),
        ))
        .repeated()
        .collect()
        .padded_by(one_of(" \t\r").repeated())
}

/// A comment belongs to the field right below it. All others are only for people.
fn without_loose_comments(tokens: Vec<Parsed>) -> Vec<Parsed> {
    let mut kept: Vec<Parsed> = Vec::with_capacity(tokens.len());
    let mut fresh = true;
    let mut above = 0;
    let mut empty = false;
    for (token, span) in tokens {
        match &token {
            Token::Comment(_) if !fresh => continue,
            Token::Comment(_) => above += 1,
            // An empty line parts comments from what is below.
            Token::End if fresh && empty && above > 0 => {
                let loose = kept
                    .iter()
                    .rposition(|(token, _)| !matches!(token, Token::Comment(_) | Token::End));
                kept.truncate(loose.map_or(0, |last| last + 1));
                above = 0;
            }
            Token::End => {}
            _ => above = 0,
        }
        empty = token == Token::End && fresh;
        fresh = matches!(token, Token::End | Token::Comment(_));
        kept.push((token, span));
    }
    kept
}

fn sign<'a, I>(sign: &'static str) -> impl Parser<'a, I, Token, ParseErrors<'a, Token>> + Clone
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    just(Token::Sign(sign))
}

fn range(span: SimpleSpan) -> Range<usize> {
    span.into_range()
}

fn fields<'a, I>() -> impl Parser<'a, I, Record, ParseErrors<'a, Token>>
where
    I: ValueInput<'a, Token = Token, Span = SimpleSpan>,
{
    let end = just(Token::End);
    let comment = select! { Token::Comment(text) => text };
    let name =
        select! { Token::Name(name) => name, Token::Text(name) => name }.labelled("a field's name");
    let word = select! { Token::Name(name) => name };
    let gap = choice((end.clone().ignored(), comment.ignored())).repeated();
    let mut record = Recursive::declare();
    let expr = recursive(|expr| {
        let path = sign("#")
            .or_not()
            .then(word)
            .then(sign(".").ignore_then(word).repeated().collect::<Vec<_>>())
            .map(|((definition, first), rest)| {
                let mark = if definition.is_some() { "#" } else { "" };
                let rest: String = rest.iter().map(|name| format!(".{name}")).collect();
                match format!("{mark}{first}{rest}").as_str() {
                    "true" => Node::Bool(true),
                    "false" => Node::Bool(false),
                    "null" => Node::Null,
                    path => Node::Name(path.to_owned()),
                }
            });
        let number = select! { Token::Number(number, unit) => Node::Number(number, unit) };
        let text = select! { Token::Text(text) => Node::Text(text) };
        let comma = choice((sign(","), end.clone())).then(gap.clone());
        let many = sign("...")
            .ignore_then(expr.clone())
            .map(|of| Node::Many(Box::new(of)));
        let items = expr
            .clone()
            .separated_by(comma.repeated().at_least(1))
            .allow_trailing()
            .collect::<Vec<_>>()
            .map(Node::List);
        let list = choice((many, items))
            .padded_by(gap.clone())
            .delimited_by(sign("["), sign("]"));
        let inner = record
            .clone()
            .delimited_by(sign("{"), sign("}"))
            .map(Node::Record);
        let operators = [
            (">=", Operator::Least),
            (">", Operator::Above),
            ("<=", Operator::Most),
            ("<", Operator::Below),
            ("!=", Operator::Not),
            ("=~", Operator::Matches),
        ];
        let operator = choice(operators.map(|(text, operator)| sign(text).to(operator)));
        let simple = choice((number, text, path.clone())).map_with(|node, e| Expr {
            at: range(e.span()),
            node,
        });
        let bound = operator
            .then(simple)
            .map(|(operator, of)| Node::Bound(operator, Box::new(of)));
        let one = choice((bound, number, text, path, list, inner))
            .map_with(|node, e| Expr {
                at: range(e.span()),
                node,
            })
            .or(expr.clone().delimited_by(sign("("), sign(")")))
            .labelled("a value")
            .boxed();
        let all = one
            .clone()
            .separated_by(sign("&").then(gap.clone()))
            .at_least(1)
            .collect::<Vec<_>>()
            .map_with(|mut all, e| match all.len() {
                1 => all.remove(0),
                _ => Expr {
                    at: range(e.span()),
                    node: Node::All(all),
                },
            });
        sign("*")
            .or_not()
            .then(all)
            .map(|(first, of)| (first.is_some(), of))
            .separated_by(sign("|").then(gap.clone()))
            .at_least(1)
            .collect::<Vec<_>>()
            .map_with(|mut either, e| match either.as_slice() {
                [(false, _)] => either.remove(0).1,
                _ => Expr {
                    at: range(e.span()),
                    node: Node::Either(either),
                },
            })
    });
    let argument = any().filter(|token| !matches!(token, Token::Sign("(" | ")") | Token::End));
    let attribute = sign("@")
        .ignore_then(word)
        .then(
            argument
                .repeated()
                .collect::<Vec<Token>>()
                .delimited_by(sign("("), sign(")")),
        )
        .map_with(|(name, words), e| {
            let words: Vec<String> = words.iter().map(Token::to_string).collect();
            (name, words.join(" "), range(e.span()))
        });
    let head = sign("#")
        .or_not()
        .then(name)
        .map(|(mark, name)| match mark {
            Some(_) => format!("#{name}"),
            None => name,
        });
    let head = head
        .map_with(|name, e| (name, range(e.span())))
        .then(sign("?").or_not())
        .then_ignore(sign(":"));
    let about = comment
        .then_ignore(end.clone().repeated().at_least(1))
        .repeated()
        .collect::<Vec<_>>();
    // `a: b: 3` is short for `a: {b: 3}`.
    let field = about
        .then(head.repeated().at_least(1).collect::<Vec<_>>())
        .then(expr)
        .then(attribute.repeated().collect::<Vec<_>>())
        .map(|(((about, heads), value), attributes)| {
            let mut field: Option<Field> = None;
            for ((name, at), optional) in heads.into_iter().rev() {
                let value = match field.take() {
                    None => value.clone(),
                    Some(inner) => Expr {
                        at: inner.at.start..value.at.end,
                        node: Node::Record(Record {
                            fields: vec![inner],
                            open: false,
                        }),
                    },
                };
                let optional = optional.is_some();
                field = Some(Field {
                    name,
                    at,
                    optional,
                    about: vec![],
                    value,
                    attributes: vec![],
                });
            }
            field.map(|field| Field {
                about,
                attributes,
                ..field
            })
        });
    let stop = |token: &Token| matches!(token, Token::End | Token::Sign("," | "}"));
    let skipped = any()
        .filter(move |token| !stop(token))
        .repeated()
        .at_least(1)
        .to(None);
    let field = field.recover_with(via_parser(skipped));
    let rest = sign("...").to(None);
    let item = rest
        .map(|none: Option<Field>| (true, none))
        .or(field.map(|field| (false, field)));
    let between = choice((sign(","), end.clone())).repeated().at_least(1);
    record.define(
        choice((sign(","), end.clone()))
            .repeated()
            .ignore_then(
                item.separated_by(between)
                    .allow_trailing()
                    .collect::<Vec<_>>(),
            )
            .then_ignore(gap.clone())
            .map(|items| Record {
                open: items.iter().any(|(open, _)| *open),
                fields: items.into_iter().filter_map(|(_, field)| field).collect(),
            }),
    );
    let whole = record
        .clone()
        .delimited_by(sign("{"), sign("}"))
        .padded_by(gap);
    choice((whole.then_ignore(chumsky::prelude::end()), record))
}

/// The first bracket that is within too many others: what is read calls itself for each.
fn too_deep(tokens: &[Parsed]) -> Option<Range<usize>> {
    let mut depth = 0_usize;
    for (token, span) in tokens {
        match token {
            Token::Sign("{" | "[" | "(") => depth += 1,
            Token::Sign("}" | "]" | ")") => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEEPEST {
            return Some(range(*span));
        }
    }
    None
}

fn word<T: fmt::Display>(expected: &RichPattern<'_, T>) -> Option<String> {
    match expected {
        RichPattern::Token(token) => Some(token.to_string()),
        RichPattern::Label(label) => Some(label.to_string()),
        RichPattern::Identifier(name) => Some(name.clone()),
        RichPattern::EndOfInput => Some("the end".to_owned()),
        _ => None,
    }
}

fn told<T: fmt::Display>(error: &Rich<'_, T>) -> SettingsError {
    let text = match error.reason() {
        RichReason::Custom(text) => text.clone(),
        RichReason::ExpectedFound { .. } => {
            let mut expected: Vec<String> = error.expected().filter_map(word).collect();
            expected.sort_unstable();
            expected.dedup();
            let found = error
                .found()
                .map_or_else(|| "the end".to_owned(), ToString::to_string);
            match expected.as_slice() {
                [] => format!("{found} is not expected here"),
                _ => format!("expected {}, found {found}", expected.join(" or ")),
            }
        }
    };
    SettingsError {
        at: range(*error.span()),
        path: String::new(),
        text,
    }
}

/// Reads a text as far as it can be read.
pub(crate) fn parse(source: &str) -> (Record, Vec<SettingsError>) {
    let (tokens, broken) = lexer().parse(source).into_output_errors();
    let mut faults: Vec<SettingsError> = broken.iter().map(told).collect();
    let tokens = without_loose_comments(tokens.unwrap_or_default());
    if let Some(at) = too_deep(&tokens) {
        faults.push(SettingsError {
            at,
            path: String::new(),
            text: "this is too deep".to_owned(),
        });
        return (Record::default(), faults);
    }
    let eof = SimpleSpan::from(source.len()..source.len());
    let input = tokens.as_slice().map(eof, |(token, span)| (token, span));
    let (record, broken) = fields().parse(input).into_output_errors();
    faults.extend(broken.iter().map(told));
    faults.sort_by_key(|error| error.at.start);
    (record.unwrap_or_default(), faults)
}
