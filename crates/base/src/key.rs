//! Small `Copy` keys into arenas, one type for each kind of thing.

use slotmap::new_key_type;

new_key_type! {
    /// An entry instance known to this process.
    pub struct Instance;
    /// A failure domain.
    pub struct Domain;
    /// A workspace, whose traffic has limits of its own.
    pub struct Workspace;
    /// A service that callers name.
    pub struct Service;
    /// A version of a service.
    pub struct Version;
    /// An upstream that runs one version in one failure domain.
    pub struct Upstream;
    /// A route of a service.
    pub struct Route;
    /// A connection to an upstream.
    pub struct Connection;
    /// A call in progress.
    pub struct Call;
    /// One attempt at a call.
    pub struct Attempt;
    /// A planned move between two versions.
    pub struct Move;
}
