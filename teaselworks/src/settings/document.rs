//! Parser for JSON with comments that keeps the source position of every field.

use jsonc_parser::ast;
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::Value;

use super::fault::{Fault, Faults, FieldPath, PathSegment, UnlocatedFault};

/// A parsed JSON document that may contain comments and trailing commas.
#[derive(Debug)]
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
    root: ast::Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses `text`; faults name the file as `file`.
    ///
    /// Fails with the first syntax error, or with a fault for every key that occurs twice in an
    /// object: the parser would silently use one of the two values, and the operator might read the
    /// other one.
    ///
    /// ```
    /// use teaselworks::settings::Document;
    ///
    /// let document = Document::parse("a.jsonc", "{ \"a\": 1 } // one").unwrap();
    /// assert_eq!(document.value()["a"], 1);
    /// assert_eq!(Document::parse("a.jsonc", "{\n\"a\" 1 }").unwrap_err().0[0].line, 2);
    /// ```
    pub fn parse(file: &'a str, text: &'a str) -> Result<Self, Faults> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &parse_options());
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
        let mut duplicates = Vec::new();
        document.collect_duplicate_keys(&document.root, &FieldPath::default(), &mut duplicates);
        if duplicates.is_empty() { Ok(document) } else { Err(Faults(duplicates)) }
    }

    /// Converts the document to a JSON value; comments are dropped.
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

    /// Adds the file, line and column to a fault.
    ///
    /// The fault of an absent field points to the innermost object or array on its path that
    /// exists.
    ///
    /// ```
    /// use teaselworks::settings::Document;
    /// use teaselworks::settings::{FieldPath, UnlocatedFault};
    ///
    /// let document = Document::parse("a.jsonc", "{\n  \"a\": 1\n}").unwrap();
    /// let fault = document.locate(UnlocatedFault::new(FieldPath::from_keys(&["a"]), "is odd"));
    /// assert_eq!(fault.to_string(), "a.jsonc:2:3: a: is odd");
    /// ```
    pub fn locate(&self, fault: UnlocatedFault) -> Fault {
        self.fault_at(self.range_of(&fault.path), &fault.path, fault.problem)
    }

    /// Adds the file, line and column to each fault; sorts the faults by line and column.
    ///
    /// ```
    /// use teaselworks::settings::Document;
    ///
    /// let document = Document::parse("a.jsonc", "{}").unwrap();
    /// assert!(document.locate_all(Vec::new()).0.is_empty());
    /// ```
    pub fn locate_all(&self, unlocated: Vec<UnlocatedFault>) -> Faults {
        let mut faults: Vec<Fault> =
            unlocated.into_iter().map(|fault| self.locate(fault)).collect();
        faults.sort_by_key(|fault| (fault.line, fault.column));
        Faults(faults)
    }

    /// Returns the source range of the field at `path`, or of its innermost existing ancestor.
    fn range_of(&self, path: &FieldPath) -> Range {
        let mut value = &self.root;
        let mut range = value.range();
        for segment in &path.segments {
            match (segment, value) {
                (PathSegment::Key(key), ast::Value::Object(object)) => {
                    let Some(member) = object.get(key) else { break };
                    range = member.range;
                    value = &member.value;
                }
                (PathSegment::Index(index), ast::Value::Array(array)) => {
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

    /// Appends a fault for every duplicate key in `value`, which is at `path`.
    fn collect_duplicate_keys(
        &self,
        value: &ast::Value<'_>,
        path: &FieldPath,
        faults: &mut Vec<Fault>,
    ) {
        match value {
            ast::Value::Object(object) => {
                let mut seen = std::collections::HashSet::new();
                for member in &object.properties {
                    let name = member.name.as_str();
                    let path = path.child_key(name);
                    if !seen.insert(name) {
                        faults.push(self.fault_at(member.range, &path, "occurs twice".into()));
                    }
                    self.collect_duplicate_keys(&member.value, &path, faults);
                }
            }
            ast::Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.collect_duplicate_keys(element, &path.child_index(index), faults);
                }
            }
            _ => {}
        }
    }
}

/// Returns the syntax extensions that settings files may use: comments and trailing commas only.
fn parse_options() -> ParseOptions {
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
