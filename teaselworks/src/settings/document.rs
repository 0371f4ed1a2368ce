//! JSON with comments that remembers on which line each field stands.

use jsonc_parser::ast;
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::Value;

use super::fault::{Fault, Faults, FieldPath, Finding, Step};

/// A document of JSON with comments and trailing commas.
#[derive(Debug)]
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
    root: ast::Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses `text`; `file` is the name in faults.
    ///
    /// Fails with the first syntax error, or with every member that occurs twice: the parser would
    /// silently take one of them, and the operator would see the other.
    ///
    /// ```
    /// use teaselworks::settings::Document;
    ///
    /// let document = Document::parse("a.jsonc", "{ \"a\": 1 } // one").unwrap();
    /// assert_eq!(document.value()["a"], 1);
    /// assert_eq!(Document::parse("a.jsonc", "{\n\"a\" 1 }").unwrap_err().0[0].line, 2);
    /// ```
    pub fn parse(file: &'a str, text: &'a str) -> Result<Self, Faults> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &options());
        let syntax_fault = |line, column, problem: String| Fault {
            file: file.into(),
            line,
            column,
            field: String::new(),
            problem,
        };
        let root = match parsed {
            Ok(result) => result.value,
            Err(error) => {
                let problem = error.kind().to_string();
                return Err(
                    syntax_fault(error.line_display(), error.column_display(), problem).into()
                );
            }
        };
        let Some(root) = root else {
            return Err(syntax_fault(1, 1, "The document is empty".into()).into());
        };
        let document = Self { file, text, root };
        let mut repeated = Vec::new();
        document.collect_repeated(&document.root, &FieldPath::default(), &mut repeated);
        if repeated.is_empty() { Ok(document) } else { Err(Faults(repeated)) }
    }

    /// Returns the document as a JSON value without comments.
    ///
    /// ```
    /// use teaselworks::settings::Document;
    ///
    /// let document = Document::parse("a.jsonc", "[1, /* two */ 3,]").unwrap();
    /// assert_eq!(document.value().to_string(), "[1,3]");
    /// ```
    pub fn value(&self) -> Value {
        self.root.clone().into()
    }

    /// Turns a finding into a fault with file, line and column.
    ///
    /// An absent field is placed at the nearest object around it.
    ///
    /// ```
    /// use teaselworks::settings::Document;
    /// use teaselworks::settings::{FieldPath, Finding};
    ///
    /// let document = Document::parse("a.jsonc", "{\n  \"a\": 1\n}").unwrap();
    /// let fault = document.place(Finding::new(FieldPath::of(&["a"]), "is odd"));
    /// assert_eq!(fault.to_string(), "a.jsonc:2:3: a: is odd");
    /// ```
    pub fn place(&self, finding: Finding) -> Fault {
        self.fault_at(self.range_of(&finding.path), &finding.path, finding.problem)
    }

    /// Turns findings into faults in the order of their lines.
    ///
    /// ```
    /// use teaselworks::settings::Document;
    ///
    /// let document = Document::parse("a.jsonc", "{}").unwrap();
    /// assert!(document.place_all(Vec::new()).0.is_empty());
    /// ```
    pub fn place_all(&self, findings: Vec<Finding>) -> Faults {
        let mut faults: Vec<Fault> = findings.into_iter().map(|one| self.place(one)).collect();
        faults.sort_by_key(|fault| (fault.line, fault.column));
        Faults(faults)
    }

    fn range_of(&self, path: &FieldPath) -> Range {
        let mut value = &self.root;
        let mut range = value.range();
        for step in &path.steps {
            match (step, value) {
                (Step::Key(key), ast::Value::Object(object)) => {
                    let Some(member) = object.get(key) else { break };
                    range = member.range;
                    value = &member.value;
                }
                (Step::Index(index), ast::Value::Array(array)) => {
                    let Some(element) = array.elements.get(*index) else { break };
                    range = element.range();
                    value = element;
                }
                _ => break,
            }
        }
        range
    }

    fn fault_at(&self, range: Range, path: &FieldPath, problem: String) -> Fault {
        let before = &self.text[..range.start];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Fault {
            file: self.file.into(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            field: path.to_string(),
            problem,
        }
    }

    fn collect_repeated(&self, value: &ast::Value<'_>, path: &FieldPath, faults: &mut Vec<Fault>) {
        match value {
            ast::Value::Object(object) => {
                let mut seen = std::collections::HashSet::new();
                for member in &object.properties {
                    let name = member.name.as_str();
                    let path = path.key(name);
                    if !seen.insert(name) {
                        faults.push(self.fault_at(member.range, &path, "occurs twice".into()));
                    }
                    self.collect_repeated(&member.value, &path, faults);
                }
            }
            ast::Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.collect_repeated(element, &path.index(index), faults);
                }
            }
            _ => {}
        }
    }
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
