//! Sets up logging as JSON lines on standard output.

use derive_more::{Display, Error, From};
use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root, runtime::ConfigErrors};
use log4rs::encode::json::JsonEncoder;

/// Name of the appender.
const APPENDER: &str = "console";

/// Why logging cannot be set up.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The logging library rejects the configuration.
    #[display("cannot configure logging: {_0}")]
    Config(ConfigErrors),
    /// A logger is already installed.
    #[display("cannot install the logger: {_0}")]
    Logger(log::SetLoggerError),
}

/// Starts logging at the given level.
///
/// # Errors
///
/// Returns an error if a logger is already installed or the configuration is rejected.
pub fn start(level: LevelFilter) -> Result<(), Fault> {
    let console = ConsoleAppender::builder().encoder(Box::new(JsonEncoder::new())).build();
    let appender = Appender::builder().build(APPENDER, Box::new(console));
    let root = Root::builder().appender(APPENDER).build(level);
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}
