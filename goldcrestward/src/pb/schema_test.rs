//! Parser of the part of the protobuf language that `proto/peer.proto` uses, and the changes that a landing may not make.

use std::collections::{BTreeMap, BTreeSet};

/// Messages to which no field may be added. Daemons pass on facts and members without the fields that they do not know,
/// and the MACs cover the known fields only.
const CLOSED_MESSAGES: [&str; 5] = ["Fact", "Frame", "Hello", "Member", "Sealed"];
/// Enums to which no value may be added, because a reader takes an unknown value for the first one.
const CLOSED_ENUMS: [&str; 2] = ["FileOrigin", "MemberState"];

/// Type, name and place of a field, as `repeated Fact facts` or `Ping ping in body`.
type FieldText = String;

#[derive(Debug, Default, PartialEq)]
struct MessageSchema {
    fields: BTreeMap<u32, FieldText>,
    reserved: BTreeSet<u32>,
}

/// The messages and enums of a protocol file.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Schema {
    messages: BTreeMap<String, MessageSchema>,
    /// Names of the values by their numbers.
    enums: BTreeMap<String, BTreeMap<i32, String>>,
}

struct Tokens<'a> {
    rest: std::vec::IntoIter<&'a str>,
}

type Result<T> = std::result::Result<T, String>;

impl<'a> Tokens<'a> {
    fn new(text: &'a str) -> Self {
        let mut tokens = Vec::new();
        for line in text.lines() {
            let mut code = line.split("//").next().unwrap_or_default();
            while let Some(at) = code.find(|c: char| c.is_whitespace() || "{}=;,\"[]<>".contains(c)) {
                tokens.extend([&code[..at], code[at..=at].trim()].into_iter().filter(|token| !token.is_empty()));
                code = &code[at + 1..];
            }
            tokens.extend(Some(code).filter(|code| !code.is_empty()));
        }
        Self { rest: tokens.into_iter() }
    }

    fn next(&mut self) -> Result<&'a str> {
        self.rest.next().ok_or_else(|| "the file ends early".to_owned())
    }

    fn expect(&mut self, expected: &str) -> Result<()> {
        let token = self.next()?;
        if token == expected { Ok(()) } else { Err(format!("{token:?} stands where {expected:?} is expected")) }
    }

    fn number<N: std::str::FromStr>(&mut self) -> Result<N> {
        let token = self.next()?;
        token.parse().map_err(|_| format!("{token:?} is not a number"))
    }
}

impl Schema {
    pub fn parse(text: &str) -> Result<Self> {
        let mut tokens = Tokens::new(text);
        let mut schema = Self::default();
        while let Ok(token) = tokens.next() {
            match token {
                "syntax" | "package" => while tokens.next()? != ";" {},
                "message" => {
                    let name = tokens.next()?;
                    let message = parse_message(&mut tokens).map_err(|error| format!("message {name}: {error}"))?;
                    if schema.messages.insert(name.to_owned(), message).is_some() {
                        return Err(format!("message {name} is declared twice"));
                    }
                }
                "enum" => {
                    let name = tokens.next()?;
                    let values = parse_enum(&mut tokens).map_err(|error| format!("enum {name}: {error}"))?;
                    if schema.enums.insert(name.to_owned(), values).is_some() {
                        return Err(format!("enum {name} is declared twice"));
                    }
                }
                _ => return Err(format!("{token:?} is not supported")),
            }
        }
        Ok(schema)
    }

    /// Changes from `landed` to this schema that builds of both cannot bear side by side.
    pub fn violations(&self, landed: &Self) -> Vec<String> {
        let mut found = Vec::new();
        for (name, old) in &landed.messages {
            let Some(new) = self.messages.get(name) else {
                found.push(format!("message {name} is missing"));
                continue;
            };
            found.extend(new.violations(old, CLOSED_MESSAGES.contains(&name.as_str())).map(|v| format!("{name}: {v}")));
        }
        for (name, old) in &landed.enums {
            let Some(new) = self.enums.get(name) else {
                found.push(format!("enum {name} is missing"));
                continue;
            };
            for (number, value) in old.iter().filter(|(number, value)| new.get(*number) != Some(*value)) {
                found.push(format!("{name}: {value} = {number} is missing or has another name"));
            }
            if CLOSED_ENUMS.contains(&name.as_str()) && new.len() > old.len() {
                found.push(format!("{name}: no value may be added"));
            }
        }
        found
    }

    /// Names of the encodings that need a kept example: each message, or each variant of its `oneof`.
    pub fn encodings(&self) -> BTreeSet<String> {
        let mut names = BTreeSet::new();
        for (name, message) in &self.messages {
            let variants = message.fields.values().filter_map(|field| field.split_once(" in "));
            let variants: Vec<_> = variants.filter_map(|(field, _)| field.split(' ').nth(1)).collect();
            names.extend(variants.iter().map(|variant| format!("{name}.{variant}")));
            names.extend(Some(name.clone()).filter(|_| variants.is_empty()));
        }
        names
    }

    /// Number of values of an enum.
    pub fn value_count(&self, name: &str) -> usize {
        self.enums.get(name).map_or(0, BTreeMap::len)
    }
}

impl MessageSchema {
    fn violations(&self, landed: &Self, is_closed: bool) -> impl Iterator<Item = String> {
        let mut found = Vec::new();
        for (number, old) in &landed.fields {
            match self.fields.get(number) {
                None => found.push(format!("field {number}, `{old}`, is missing")),
                Some(new) if new != old => found.push(format!("field {number} was `{old}`, is `{new}`")),
                Some(_) => {}
            }
        }
        for number in &landed.reserved {
            match self.fields.get(number) {
                Some(new) => found.push(format!("field {number}, `{new}`, has a reserved number")),
                None if !self.reserved.contains(number) => found.push(format!("{number} is no longer reserved")),
                None => {}
            }
        }
        if is_closed && self.fields.len() > landed.fields.len() {
            found.push("no field may be added".to_owned());
        }
        found.into_iter()
    }

    fn add(&mut self, number: u32, field: FieldText) -> Result<()> {
        match self.fields.insert(number, field) {
            Some(other) => Err(format!("{number} is the number of `{other}` and of another field")),
            None => Ok(()),
        }
    }
}

fn parse_message(tokens: &mut Tokens) -> Result<MessageSchema> {
    let mut message = MessageSchema::default();
    tokens.expect("{")?;
    loop {
        match tokens.next()? {
            "}" => break,
            "reserved" => parse_reserved(tokens, &mut message.reserved)?,
            "oneof" => {
                let name = tokens.next()?;
                tokens.expect("{")?;
                loop {
                    match tokens.next()? {
                        "}" => break,
                        kind => {
                            let (number, field) = parse_field(kind, tokens)?;
                            message.add(number, format!("{field} in {name}"))?;
                        }
                    }
                }
            }
            label @ ("repeated" | "optional") => {
                let (number, field) = parse_field(tokens.next()?, tokens)?;
                message.add(number, format!("{label} {field}"))?;
            }
            token @ ("message" | "enum" | "map" | "option" | "extensions") => {
                return Err(format!("{token:?} is not supported here"));
            }
            kind => {
                let (number, field) = parse_field(kind, tokens)?;
                message.add(number, field)?;
            }
        }
    }
    match message.fields.keys().find(|number| message.reserved.contains(number)) {
        Some(number) => Err(format!("{number} is reserved")),
        None => Ok(message),
    }
}

fn parse_field(kind: &str, tokens: &mut Tokens) -> Result<(u32, FieldText)> {
    let name = tokens.next()?;
    tokens.expect("=")?;
    let number = tokens.number()?;
    tokens.expect(";")?;
    Ok((number, format!("{kind} {name}")))
}

fn parse_reserved(tokens: &mut Tokens, reserved: &mut BTreeSet<u32>) -> Result<()> {
    loop {
        reserved.insert(tokens.number()?);
        match tokens.next()? {
            ";" => return Ok(()),
            "," => {}
            token => return Err(format!("{token:?} is not supported among reserved numbers")),
        }
    }
}

fn parse_enum(tokens: &mut Tokens) -> Result<BTreeMap<i32, String>> {
    let mut values = BTreeMap::new();
    tokens.expect("{")?;
    loop {
        let name = tokens.next()?;
        if name == "}" {
            return Ok(values);
        }
        tokens.expect("=")?;
        let number = tokens.number()?;
        tokens.expect(";")?;
        if let Some(other) = values.insert(number, name.to_owned()) {
            return Err(format!("{number} is the number of {other} and of {name}"));
        }
    }
}
