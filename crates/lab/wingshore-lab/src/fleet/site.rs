//! Reads `sites/<site>/` and moves every address to a free port of this machine.

use super::FleetError;
use super::error::{
    ParseLabSnafu, ParseTomlSnafu, PortsSnafu, ReadFileSnafu, SiteSettingsSnafu, WriteTomlSnafu,
};
use super::lab_settings::LabSettings;
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use wingshore_settings::{
    NodeSettings, Overrides, ReplicaSettings, SiteFile, node_from_text, replica_from_text,
    site_from_text,
};

/// A process of wingshore with the text of its settings.
#[derive(Clone, Debug)]
pub struct Role<T> {
    /// Text of its settings file.
    pub text: String,
    /// The same, parsed.
    pub settings: T,
}

/// A site on this machine.
pub struct Site {
    pub name: String,
    pub file_text: String,
    /// The same, parsed.
    pub file: SiteFile,
    pub replicas: Vec<Role<ReplicaSettings>>,
    pub nodes: Vec<Role<NodeSettings>>,
    /// How the stand-ins behave.
    pub lab: LabSettings,
    /// Keeps the ports taken until the processes start.
    pub ports: FreePorts,
}

/// Addresses of the files and the free ports that stand for them.
#[derive(Default)]
pub struct FreePorts {
    taken: BTreeMap<SocketAddr, TcpListener>,
}

impl FreePorts {
    /// The free address that stands for `address`.
    fn stand_in_for(&mut self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        if let Some(listener) = self.taken.get(&address) {
            return listener.local_addr();
        }
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let free = listener.local_addr()?;
        self.taken.insert(address, listener);
        Ok(free)
    }

    /// Gives the ports back, for the processes to take.
    pub fn release(&mut self) {
        self.taken.clear();
    }
}

impl Site {
    /// Reads a site; data folders become folders under `data`.
    pub fn read(folder: &Path, name: &str, data: &Path) -> Result<Self, FleetError> {
        let mut ports = FreePorts::default();
        let mut read = |path: &Path| read_moved(path, data, &mut ports);
        let site_path = folder.join("site.toml");
        let file_text = read(&site_path)?;
        let replicas = read_roles(&folder.join("replicas"), &mut read, replica_from_text)?;
        let nodes = read_roles(&folder.join("nodes"), &mut read, node_from_text)?;
        let lab_path = folder.join("lab.toml");
        let lab = toml::from_str(&read(&lab_path)?)
            .map_err(Box::new)
            .context(ParseLabSnafu { path: &lab_path })?;
        let file =
            site_from_text(&site_path.to_string_lossy(), &file_text).context(SiteSettingsSnafu)?;
        Ok(Self {
            name: name.to_owned(),
            file_text,
            file,
            replicas,
            nodes,
            lab,
            ports,
        })
    }
}

type FromText<T> = fn(&str, &str, &Overrides) -> Result<T, wingshore_settings::SettingsErrors>;

fn read_roles<T>(
    folder: &Path,
    read: &mut impl FnMut(&Path) -> Result<String, FleetError>,
    parse: FromText<T>,
) -> Result<Vec<Role<T>>, FleetError> {
    let mut roles = Vec::new();
    for path in toml_files(folder)? {
        let text = read(&path)?;
        let settings = parse(&path.to_string_lossy(), &text, &Overrides::default())
            .context(SiteSettingsSnafu)?;
        roles.push(Role { text, settings });
    }
    Ok(roles)
}

fn toml_files(folder: &Path) -> Result<Vec<PathBuf>, FleetError> {
    let entries = std::fs::read_dir(folder).context(ReadFileSnafu { path: folder })?;
    let mut paths: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "toml")
        })
        .collect();
    paths.sort();
    Ok(paths)
}

/// Reads a file, with its addresses moved to free ports and its data folder under `data`.
fn read_moved(path: &Path, data: &Path, ports: &mut FreePorts) -> Result<String, FleetError> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let mut value: toml::Value = toml::from_str(&text)
        .map_err(Box::new)
        .context(ParseTomlSnafu { path })?;
    move_data(&mut value, data);
    move_addresses(&mut value, ports).context(PortsSnafu)?;
    toml::to_string(&value).context(WriteTomlSnafu {
        name: path.to_string_lossy(),
    })
}

fn move_data(value: &mut toml::Value, data: &Path) {
    let Some(table) = value.as_table_mut() else {
        return;
    };
    if let Some(toml::Value::String(folder)) = table.get_mut("data") {
        let name = Path::new(folder.as_str()).file_name();
        *folder = data
            .join(name.unwrap_or_default())
            .to_string_lossy()
            .into_owned();
    }
}

fn move_addresses(value: &mut toml::Value, ports: &mut FreePorts) -> std::io::Result<()> {
    match value {
        toml::Value::String(text) => {
            if let Ok(address) = text.parse() {
                *text = ports.stand_in_for(address)?.to_string();
            }
        }
        toml::Value::Array(items) => {
            for item in items {
                move_addresses(item, ports)?;
            }
        }
        toml::Value::Table(table) => {
            for (_, item) in table.iter_mut() {
                move_addresses(item, ports)?;
            }
        }
        _ => {}
    }
    Ok(())
}
