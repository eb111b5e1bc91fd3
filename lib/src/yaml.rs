//! YAML documents as JSON values that remember the line of each field.

use std::{collections::HashMap, fmt::Write as _};

use saphyr::Scalar;
use saphyr_parser::{Event, Marker, Parser, ScanError, Span, StrInput};
use serde_json::{Map, Number, Value};

use crate::problem::{Problem, Problems};

/// A YAML document.
#[derive(Debug)]
pub struct Document {
    /// The file it came from, for messages.
    pub file: String,
    /// The document's value.
    pub value: Value,
    lines: HashMap<String, usize>,
}

impl Document {
    /// Parses the text of `file`.
    ///
    /// # Errors
    ///
    /// Returns the place of a syntax error, of each duplicate field, and of each value
    /// that JSON cannot hold.
    pub fn parse(file: &str, text: &str) -> Result<Document, Problems> {
        let fail = |list| Problems { file: file.into(), list };
        let mut reader = Reader::new(text);
        let value = reader.document().map_err(|err| {
            let line = err.marker().line();
            fail(vec![Problem { line, field: String::new(), message: err.info().into() }])
        })?;
        if !reader.problems.is_empty() {
            return Err(fail(reader.problems));
        }
        Ok(Document { file: file.into(), value, lines: reader.lines })
    }

    /// Returns the line of a JSON pointer, or of the nearest field above it.
    pub fn line(&self, pointer: &str) -> usize {
        let mut pointer = pointer;
        loop {
            if let Some(&line) = self.lines.get(pointer) {
                return line;
            }
            match pointer.rfind('/') {
                Some(end) => pointer = &pointer[..end],
                None => return 1,
            }
        }
    }

    /// Builds a problem at a JSON pointer.
    pub fn problem(&self, pointer: &str, message: String) -> Problem {
        Problem { line: self.line(pointer), field: field(pointer), message }
    }
}

/// Writes a JSON pointer the way YAML readers think of it: `upstreams[0].address`.
fn field(pointer: &str) -> String {
    let mut text = String::new();
    for part in pointer.split('/').skip(1) {
        if part.bytes().all(|it| it.is_ascii_digit()) && !part.is_empty() {
            let _ = write!(text, "[{part}]");
        } else {
            if !text.is_empty() {
                text.push('.');
            }
            text.push_str(&part.replace("~1", "/").replace("~0", "~"));
        }
    }
    text
}

/// Builds the value from the parser's events, because the library's own tree keeps only
/// the last of several fields with the same name.
struct Reader<'input> {
    parser: Parser<'input, StrInput<'input>>,
    lines: HashMap<String, usize>,
    problems: Vec<Problem>,
}

impl<'input> Reader<'input> {
    fn new(text: &'input str) -> Self {
        let parser = Parser::new_from_str(text);
        Reader { parser, lines: HashMap::new(), problems: Vec::new() }
    }

    /// Reads the whole input, of which only the first document counts.
    fn document(&mut self) -> Result<Value, ScanError> {
        let mut documents = Vec::new();
        while let Some((event, span)) = self.parser.next().transpose()? {
            match event {
                Event::StreamStart | Event::DocumentStart(_) | Event::DocumentEnd => {}
                Event::StreamEnd => break,
                event => {
                    if !documents.is_empty() {
                        self.reject(span.start.line(), "", "a second document begins here");
                    }
                    let value = self.value(event, span, "")?;
                    documents.push(value);
                }
            }
        }
        Ok(documents.into_iter().next().unwrap_or(Value::Null))
    }

    fn next(&mut self) -> Result<(Event<'input>, Span), ScanError> {
        let end = || ScanError::new_str(Marker::default(), "the document ends too early");
        self.parser.next().transpose()?.ok_or_else(end)
    }

    fn value(
        &mut self,
        event: Event<'input>,
        span: Span,
        pointer: &str,
    ) -> Result<Value, ScanError> {
        let line = span.start.line();
        self.lines.entry(pointer.into()).or_insert(line);
        match event {
            Event::Scalar(text, style, 0, tag) => {
                match Scalar::parse_from_cow_and_metadata(text, style, tag.as_ref()) {
                    Some(scalar) => Ok(self.scalar(&scalar, line, pointer)),
                    None => Ok(self.reject(line, pointer, "the value does not fit its tag")),
                }
            }
            Event::SequenceStart(0, _) => self.sequence(pointer),
            Event::MappingStart(0, _) => self.mapping(pointer),
            _ => Ok(self.reject(line, pointer, "anchors and aliases are not supported")),
        }
    }

    fn sequence(&mut self, pointer: &str) -> Result<Value, ScanError> {
        let mut items = Vec::new();
        loop {
            let (event, span) = self.next()?;
            if event == Event::SequenceEnd {
                return Ok(Value::Array(items));
            }
            let below = format!("{pointer}/{}", items.len());
            items.push(self.value(event, span, &below)?);
        }
    }

    fn mapping(&mut self, pointer: &str) -> Result<Value, ScanError> {
        let mut map = Map::new();
        loop {
            let (event, span) = self.next()?;
            let line = span.start.line();
            let name = match event {
                Event::MappingEnd => return Ok(Value::Object(map)),
                Event::Scalar(name, ..) => name,
                event => {
                    self.value(event, span, pointer)?;
                    self.reject(line, pointer, "a field's name must be text");
                    "".into()
                }
            };
            let below = format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"));
            if map.contains_key(&*name) {
                self.reject(line, &below, "the field stands twice");
            }
            self.lines.insert(below.clone(), line);
            let (event, span) = self.next()?;
            let value = self.value(event, span, &below)?;
            map.insert(name.into_owned(), value);
        }
    }

    fn scalar(&mut self, scalar: &Scalar<'_>, line: usize, pointer: &str) -> Value {
        match scalar {
            Scalar::Null => Value::Null,
            Scalar::Boolean(it) => Value::Bool(*it),
            Scalar::Integer(it) => Value::Number((*it).into()),
            Scalar::FloatingPoint(it) => match Number::from_f64(**it) {
                Some(number) => Value::Number(number),
                None => self.reject(line, pointer, "the number is not finite"),
            },
            Scalar::String(it) => Value::String(it.to_string()),
        }
    }

    fn reject(&mut self, line: usize, pointer: &str, message: &str) -> Value {
        self.problems.push(Problem { line, field: field(pointer), message: message.into() });
        Value::Null
    }
}
