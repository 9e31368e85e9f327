//! Small `Copy` keys into arenas, with a type for each kind of object.

use slotmap::new_key_type;

new_key_type! {
    /// An entry instance known to this process.
    pub struct Instance;
    /// A failure domain.
    pub struct Domain;
    /// A workspace, which has its own share and limit of traffic.
    pub struct Workspace;
    /// A service that callers send requests to.
    pub struct Service;
    /// A version of a service.
    pub struct Version;
    /// An upstream that runs one version in one failure domain.
    pub struct Upstream;
    /// A route of a service.
    pub struct Route;
    /// A connection to an upstream.
    pub struct Connection;
    /// A call in progress, with all its attempts.
    pub struct Call;
    /// One attempt to carry out a call at an upstream.
    pub struct Attempt;
    /// A move of a service's traffic from one version to another.
    pub struct Move;
}
