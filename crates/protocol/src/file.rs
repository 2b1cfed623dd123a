//! The configuration files of operators, in YAML.
//!
//! A set of files is parsed as a whole, and all errors in it are reported at
//! once, each with file, line, field and cause. The invariant: parsing returns
//! a [`Config`] only if there are no errors.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use sedgewall_state::{
    Priority,
    config::{
        AdapterConfig, BaseModel, Config, EndpointGroup, EndpointKind,
        ExpectedSpike, Policy, Region, WeightStore,
    },
};
use serde::{
    Deserialize, Deserializer, Serialize,
    de::{DeserializeOwned, IgnoredAny, MapAccess, Visitor},
};
use serde_json::Value;
use serde_saphyr::Spanned;

/// An error in a file, with its location.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct FileDiagnostic {
    /// The name of the file.
    pub file: String,
    /// The line, counted from 1; 0 if the error has no line.
    pub line: u64,
    /// The path of the field, such as `adapters[17].base_model`.
    pub field: String,
    /// The cause of the error.
    pub cause: String,
}

impl fmt::Display for FileDiagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.cause)
    }
}

/// All errors in a set of files.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileError {
    /// The errors in the order in which they were found; never empty.
    pub diagnostics: Vec<FileDiagnostic>,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> =
            self.diagnostics.iter().map(FileDiagnostic::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for FileError {}

/// A file that was read but not yet parsed.
#[derive(Clone, Debug)]
pub struct SourceFile {
    /// The name of the file in error messages.
    pub name: String,
    /// The content of the file.
    pub text: String,
}

/// Reads files, and all `.yaml` files of directories, sorted by name.
///
/// # Errors
///
/// When a path cannot be read or a directory contains no `.yaml` file.
pub fn read_paths(paths: &[PathBuf]) -> Result<Vec<SourceFile>, FileError> {
    let mut files = Vec::new();
    let mut diagnostics = Vec::new();
    for path in paths {
        match read_path(path) {
            Ok(found) => files.extend(found),
            Err(err) => diagnostics.push(FileDiagnostic {
                file: path.display().to_string(),
                line: 0,
                field: String::new(),
                cause: err.to_string(),
            }),
        }
    }
    if diagnostics.is_empty() {
        Ok(files)
    } else {
        Err(FileError { diagnostics })
    }
}

fn read_path(path: &Path) -> std::io::Result<Vec<SourceFile>> {
    if !path.is_dir() {
        return Ok(vec![read_file(path)?]);
    }
    let mut names: Vec<PathBuf> = std::fs::read_dir(path)?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|name| name.extension().is_some_and(|ext| ext == "yaml"))
        .collect();
    names.sort();
    if names.is_empty() {
        return Err(std::io::Error::other(
            "the directory contains no .yaml file",
        ));
    }
    names.iter().map(|name| read_file(name)).collect()
}

fn read_file(path: &Path) -> std::io::Result<SourceFile> {
    let text = std::fs::read_to_string(path)?;
    Ok(SourceFile { name: path.display().to_string(), text })
}

/// Parses and validates a set of files as one configuration.
///
/// # Errors
///
/// With all errors in all files.
pub fn parse(files: &[SourceFile]) -> Result<Config, FileError> {
    let mut reader = ConfigReader::default();
    for file in files {
        reader.read(file);
    }
    let ConfigReader { config, mut diagnostics, locations, .. } = reader;
    for error in config.validation_errors() {
        diagnostics.push(locate_error(&locations, &error.path, error.cause));
    }
    if diagnostics.is_empty() {
        Ok(config)
    } else {
        Err(FileError { diagnostics })
    }
}

/// The location in a file from which a field of the merged configuration was
/// read.
#[derive(Clone, Debug)]
struct SourceLocation {
    file: String,
    line: u64,
    field: String,
}

fn locate_error(
    locations: &HashMap<String, SourceLocation>,
    path: &str,
    cause: String,
) -> FileDiagnostic {
    let item = path.split_once(']').map(|(head, _)| format!("{head}]"));
    let exact = locations.get(path);
    let found = exact.or_else(|| locations.get(&item?));
    let Some(location) = found else {
        return FileDiagnostic {
            file: "(all files)".to_owned(),
            line: 0,
            field: path.to_owned(),
            cause,
        };
    };
    let field = match (exact, path.split_once(']')) {
        (None, Some((_, rest))) => format!("{}{rest}", location.field),
        _ => location.field.clone(),
    };
    FileDiagnostic {
        file: location.file.clone(),
        line: location.line,
        field,
        cause,
    }
}

type Fields = BTreeMap<String, Spanned<Value>>;

/// The sections of a file, with the lines of all fields.
#[derive(Debug, Default)]
struct Sections {
    lists: Vec<(String, Vec<Spanned<Fields>>)>,
    maps: Vec<(String, Spanned<Fields>)>,
    unknown: Vec<String>,
}

const LIST_SECTIONS: [&str; 5] = [
    "base_models",
    "adapters",
    "endpoint_groups",
    "regions",
    "expected_spikes",
];

const MAP_SECTIONS: [&str; 2] = ["weight_store", "policy"];

impl<'de> Deserialize<'de> for Sections {
    fn deserialize<D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Sections, D::Error> {
        deserializer.deserialize_map(SectionsVisitor)
    }
}

struct SectionsVisitor;

impl<'de> Visitor<'de> for SectionsVisitor {
    type Value = Sections;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a mapping of sections")
    }

    fn visit_map<A: MapAccess<'de>>(
        self,
        mut map: A,
    ) -> Result<Sections, A::Error> {
        let mut sections = Sections::default();
        while let Some(name) = map.next_key::<String>()? {
            if LIST_SECTIONS.contains(&name.as_str()) {
                let items = map.next_value()?;
                sections.lists.push((name, items));
            } else if MAP_SECTIONS.contains(&name.as_str()) {
                let fields = map.next_value()?;
                sections.maps.push((name, fields));
            } else {
                map.next_value::<IgnoredAny>()?;
                sections.unknown.push(name);
            }
        }
        Ok(sections)
    }
}

#[derive(Default)]
struct ConfigReader {
    config: Config,
    diagnostics: Vec<FileDiagnostic>,
    locations: HashMap<String, SourceLocation>,
}

impl ConfigReader {
    fn read(&mut self, file: &SourceFile) {
        let sections: Sections = match serde_saphyr::from_str_with_options(
            &file.text,
            yaml_options(),
        ) {
            Ok(sections) => sections,
            Err(err) => return self.report_syntax_error(file, &err),
        };
        for name in sections.unknown {
            let known = LIST_SECTIONS.iter().chain(&MAP_SECTIONS).copied();
            let known: Vec<&str> = known.collect();
            self.diagnostics.push(FileDiagnostic {
                file: file.name.clone(),
                line: line_of_key(&file.text, &name),
                field: name,
                cause: format!(
                    "no such section; expected one of {}",
                    known.join(", ")
                ),
            });
        }
        for (name, items) in sections.lists {
            for (idx, item) in items.into_iter().enumerate() {
                self.read_item(file, &name, idx, item);
            }
        }
        for (name, fields) in sections.maps {
            self.read_map(file, &name, fields);
        }
    }

    fn report_syntax_error(
        &mut self,
        file: &SourceFile,
        err: &serde_saphyr::Error,
    ) {
        let line = err.location().map_or(0, |location| location.line());
        let text = err.to_string();
        let cause = text.lines().next().unwrap_or("cannot be read");
        self.diagnostics.push(FileDiagnostic {
            file: file.name.clone(),
            line,
            field: String::new(),
            cause: cause.to_owned(),
        });
    }

    fn read_item(
        &mut self,
        file: &SourceFile,
        section: &str,
        idx: usize,
        item: Spanned<Fields>,
    ) {
        let field = format!("{section}[{idx}]");
        let merged_path = format!("{section}[{}]", self.section_len(section));
        self.record_locations(file, &field, &merged_path, &item);
        let mut fields =
            FieldReader::new(file, field, item, &mut self.diagnostics);
        match section {
            "base_models" => {
                let model = fields.base_model();
                self.config.base_models.extend(model);
            }
            "adapters" => {
                let adapter = fields.adapter();
                self.config.adapters.extend(adapter);
            }
            "endpoint_groups" => {
                let group = fields.endpoint_group();
                self.config.endpoint_groups.extend(group);
            }
            "regions" => {
                let region = fields.region();
                self.config.regions.extend(region);
            }
            _ => {
                let spike = fields.expected_spike();
                self.config.expected_spikes.extend(spike);
            }
        }
    }

    fn read_map(
        &mut self,
        file: &SourceFile,
        section: &str,
        item: Spanned<Fields>,
    ) {
        if self.locations.contains_key(section) {
            self.diagnostics.push(FileDiagnostic {
                file: file.name.clone(),
                line: item.referenced.line(),
                field: section.to_owned(),
                cause: "is defined in more than one place".to_owned(),
            });
            return;
        }
        self.record_locations(file, section, section, &item);
        let mut fields = FieldReader::new(
            file,
            section.to_owned(),
            item,
            &mut self.diagnostics,
        );
        match section {
            "weight_store" => {
                let store = fields.weight_store();
                self.config.weight_store = store;
            }
            _ => {
                let policy = fields.policy();
                self.config.policy = policy;
            }
        }
    }

    fn section_len(&self, section: &str) -> usize {
        match section {
            "base_models" => self.config.base_models.len(),
            "adapters" => self.config.adapters.len(),
            "endpoint_groups" => self.config.endpoint_groups.len(),
            "regions" => self.config.regions.len(),
            _ => self.config.expected_spikes.len(),
        }
    }

    fn record_locations(
        &mut self,
        file: &SourceFile,
        field: &str,
        merged_path: &str,
        item: &Spanned<Fields>,
    ) {
        let location = |line, field: String| SourceLocation {
            file: file.name.clone(),
            line,
            field,
        };
        self.locations.insert(
            merged_path.to_owned(),
            location(item.referenced.line(), field.to_owned()),
        );
        for (name, value) in &item.value {
            self.locations.insert(
                format!("{merged_path}.{name}"),
                location(value.referenced.line(), format!("{field}.{name}")),
            );
        }
    }
}

/// A configuration in the format of the files.
#[derive(Serialize)]
struct FileDocument<'a> {
    base_models: &'a [BaseModel],
    /// Groups of endpoints of one kind with the same base model, slots and
    /// seats.
    endpoint_groups: &'a [EndpointGroup],
    regions: &'a [Region],
    weight_store: WeightStore,
    policy: Policy,
    expected_spikes: Vec<SpikeDocument<'a>>,
    adapters: &'a [AdapterConfig],
}

#[derive(Serialize)]
struct SpikeDocument<'a> {
    adapter: &'a str,
    version: &'a str,
    rate_per_s: f64,
    starts: String,
    lasts_s: u64,
}

/// Returns a configuration as the text of one file, which [`parse`] accepts.
///
/// # Errors
///
/// When the YAML library fails, which it does for no valid configuration.
pub fn to_yaml(config: &Config) -> Result<String, FileError> {
    let spikes = config.expected_spikes.iter().map(|spike| SpikeDocument {
        adapter: &spike.adapter,
        version: &spike.version,
        rate_per_s: spike.rate_per_s,
        starts: humantime::format_rfc3339(spike.starts).to_string(),
        lasts_s: spike.lasts.as_secs(),
    });
    let document = FileDocument {
        base_models: &config.base_models,
        endpoint_groups: &config.endpoint_groups,
        regions: &config.regions,
        weight_store: config.weight_store,
        policy: config.policy,
        expected_spikes: spikes.collect(),
        adapters: &config.adapters,
    };
    serde_saphyr::to_string(&document).map_err(|err| FileError {
        diagnostics: vec![FileDiagnostic {
            file: "(configuration in force)".to_owned(),
            line: 0,
            field: String::new(),
            cause: err.to_string(),
        }],
    })
}

/// Returns the parser's limits, which allow for 24,000 adapters: a few hundred
/// thousand YAML nodes.
fn yaml_options() -> serde_saphyr::Options {
    serde_saphyr::options! {
        strict_booleans: true,
        budget: serde_saphyr::budget! {
            max_nodes: 4_000_000,
            max_events: 8_000_000,
            max_total_scalar_bytes: 256 << 20,
        },
    }
}

/// Returns the line of a top-level key, counted from 1, or 0 if it is not
/// found.
fn line_of_key(text: &str, key: &str) -> u64 {
    text.lines()
        .position(|line| {
            line.strip_prefix(key).is_some_and(|rest| rest.starts_with(':'))
        })
        .map_or(0, |idx| idx as u64 + 1)
}

/// Reads the fields of one item, and collects the errors in them.
struct FieldReader<'a> {
    file: &'a str,
    path: String,
    line: u64,
    fields: Fields,
    diagnostics: &'a mut Vec<FileDiagnostic>,
    is_valid: bool,
}

impl<'a> FieldReader<'a> {
    fn new(
        file: &'a SourceFile,
        path: String,
        item: Spanned<Fields>,
        diagnostics: &'a mut Vec<FileDiagnostic>,
    ) -> FieldReader<'a> {
        FieldReader {
            file: &file.name,
            path,
            line: item.referenced.line(),
            fields: item.value,
            diagnostics,
            is_valid: true,
        }
    }

    fn base_model(&mut self) -> Option<BaseModel> {
        let model = BaseModel {
            name: self.required("name"),
            shards_per_region: self.optional("shards_per_region", 1),
        };
        self.finish(model)
    }

    fn adapter(&mut self) -> Option<AdapterConfig> {
        let adapter = AdapterConfig {
            name: self.required("name"),
            base_model: self.required("base_model"),
            versions: self.required("versions"),
            priority: self.optional("priority", Priority::Normal),
        };
        self.finish(adapter)
    }

    fn endpoint_group(&mut self) -> Option<EndpointGroup> {
        let kind = self.optional("kind", EndpointKind::Engine);
        let group = EndpointGroup {
            name: self.required("name"),
            kind,
            base_model: self.optional("base_model", None),
            adapter_slots: self.optional("adapter_slots", 0),
            seats: self.required("seats"),
            checks_fences: self.optional("checks_fences", false),
        };
        self.finish(group)
    }

    fn region(&mut self) -> Option<Region> {
        let region = Region {
            name: self.required("name"),
            zones: self.required("zones"),
        };
        self.finish(region)
    }

    fn expected_spike(&mut self) -> Option<ExpectedSpike> {
        let spike = ExpectedSpike {
            adapter: self.required("adapter"),
            version: self.required("version"),
            rate_per_s: self.required("rate_per_s"),
            starts: self.time("starts"),
            lasts: Duration::from_secs(self.required("lasts_s")),
        };
        self.finish(spike)
    }

    fn weight_store(&mut self) -> WeightStore {
        let store = WeightStore {
            rate_per_s: self.required("rate_per_s"),
            concurrency: self.required("concurrency"),
        };
        self.finish(store).unwrap_or_default()
    }

    fn policy(&mut self) -> Policy {
        let base = Policy::default();
        // `stall_weight` is how much load stalls (waits for an adapter to
        // load) count against full batches, which `batch_weight` weighs.
        let policy = Policy {
            stall_weight: self.optional("stall_weight", base.stall_weight),
            batch_weight: self.optional("batch_weight", base.batch_weight),
            queue_len: self.optional("queue_len", base.queue_len),
            caller_share: self.optional("caller_share", base.caller_share),
            aging_ms: self.optional("aging_ms", base.aging_ms),
            target_wait_ms: self
                .optional("target_wait_ms", base.target_wait_ms),
            grant_validity_ms: self
                .optional("grant_validity_ms", base.grant_validity_ms),
            silent_after_ms: self
                .optional("silent_after_ms", base.silent_after_ms),
        };
        self.finish(policy).unwrap_or(base)
    }

    fn required<T: DeserializeOwned + Default>(&mut self, name: &str) -> T {
        match self.fields.remove(name) {
            Some(value) => self.convert(name, value),
            None => {
                self.report(name, self.line, "is missing".to_owned());
                T::default()
            }
        }
    }

    fn optional<T: DeserializeOwned>(&mut self, name: &str, default: T) -> T {
        let Some(value) = self.fields.remove(name) else { return default };
        let line = value.referenced.line();
        match serde_json::from_value(value.value) {
            Ok(value) => value,
            Err(err) => {
                self.report(name, line, err.to_string());
                default
            }
        }
    }

    fn time(&mut self, name: &str) -> SystemTime {
        let line =
            self.fields.get(name).map_or(self.line, |v| v.referenced.line());
        let text: String = self.required(name);
        if text.is_empty() {
            return SystemTime::UNIX_EPOCH;
        }
        humantime::parse_rfc3339_weak(&text).unwrap_or_else(|err| {
            self.report(name, line, format!("{text:?}: {err}"));
            SystemTime::UNIX_EPOCH
        })
    }

    fn convert<T: DeserializeOwned + Default>(
        &mut self,
        name: &str,
        value: Spanned<Value>,
    ) -> T {
        let line = value.referenced.line();
        serde_json::from_value(value.value).unwrap_or_else(|err| {
            self.report(name, line, err.to_string());
            T::default()
        })
    }

    /// Reports the remaining fields as unknown, and returns the item if it has
    /// no errors.
    fn finish<T>(&mut self, item: T) -> Option<T> {
        let unknown = std::mem::take(&mut self.fields);
        for (name, value) in unknown {
            let line = value.referenced.line();
            self.report(&name, line, "no such field".to_owned());
        }
        self.is_valid.then_some(item)
    }

    fn report(&mut self, name: &str, line: u64, cause: String) {
        self.is_valid = false;
        self.diagnostics.push(FileDiagnostic {
            file: self.file.to_owned(),
            line,
            field: format!("{}.{name}", self.path),
            cause,
        });
    }
}
