//! YAML documents parsed into JSON values, with the line of each field for error messages.

use std::{collections::HashMap, fmt::Write as _};

use saphyr::Scalar;
use saphyr_parser::{Event, Marker, Parser, ScanError, Span, StrInput};
use serde_json::{Map, Number, Value};

use crate::problem::{Problem, Problems};

/// A YAML document.
#[derive(Debug)]
pub struct Document {
    /// Name of the file, for error messages.
    pub file: String,
    /// The document as a JSON value.
    pub value: Value,
    /// Line of each field, from 1, by JSON pointer.
    lines: HashMap<String, usize>,
}

impl Document {
    /// Parses the text of `file`.
    ///
    /// # Errors
    ///
    /// Returns the first syntax error, or all duplicate fields and all values that JSON cannot
    /// represent, each with its line.
    pub fn parse(file: &str, text: &str) -> Result<Document, Problems> {
        let fail = |list| Problems { file: file.into(), list };
        let mut builder = Builder::new(text);
        let value = builder.document().map_err(|err| {
            let line = err.marker().line();
            fail(vec![Problem { line, field: String::new(), message: err.info().into() }])
        })?;
        if !builder.problems.is_empty() {
            return Err(fail(builder.problems));
        }
        Ok(Document { file: file.into(), value, lines: builder.lines })
    }

    /// Returns the line of the field at a JSON pointer, or of its nearest known parent.
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

    /// Creates a problem with the field at a JSON pointer.
    pub fn problem(&self, pointer: &str, message: String) -> Problem {
        Problem { line: self.line(pointer), field: field_path(pointer), message }
    }
}

/// Returns a JSON pointer as a field path such as `upstreams[0].address`.
fn field_path(pointer: &str) -> String {
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

/// Builds the JSON value from the parser's events, because the library's own document tree
/// keeps only the last of several fields with the same name.
struct Builder<'input> {
    parser: Parser<'input, StrInput<'input>>,
    /// Line of each field, by JSON pointer.
    lines: HashMap<String, usize>,
    problems: Vec<Problem>,
}

impl<'input> Builder<'input> {
    fn new(text: &'input str) -> Self {
        let parser = Parser::new_from_str(text);
        Builder { parser, lines: HashMap::new(), problems: Vec::new() }
    }

    /// Reads the whole input and returns the value of its first document. Each further document
    /// is a problem.
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

    /// Returns the next event, where the end of the input is an error.
    fn next(&mut self) -> Result<(Event<'input>, Span), ScanError> {
        let end = || ScanError::new_str(Marker::default(), "the document ends too early");
        self.parser.next().transpose()?.ok_or_else(end)
    }

    /// Builds the value that begins with `event`; `pointer` is its JSON pointer.
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

    /// Builds an array from the events up to the end of the sequence.
    fn sequence(&mut self, pointer: &str) -> Result<Value, ScanError> {
        let mut items = Vec::new();
        loop {
            let (event, span) = self.next()?;
            if event == Event::SequenceEnd {
                return Ok(Value::Array(items));
            }
            let child = format!("{pointer}/{}", items.len());
            items.push(self.value(event, span, &child)?);
        }
    }

    /// Builds an object from the events up to the end of the mapping.
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
            let child = format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"));
            if map.contains_key(&*name) {
                self.reject(line, &child, "the field stands twice");
            }
            self.lines.insert(child.clone(), line);
            let (event, span) = self.next()?;
            let value = self.value(event, span, &child)?;
            map.insert(name.into_owned(), value);
        }
    }

    /// Converts a scalar; a number that is not finite is a problem.
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

    /// Records a problem and returns the value that stands in for the rejected one.
    fn reject(&mut self, line: usize, pointer: &str, message: &str) -> Value {
        self.problems.push(Problem { line, field: field_path(pointer), message: message.into() });
        Value::Null
    }
}
