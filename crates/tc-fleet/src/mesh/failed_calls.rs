//! Reports of failed calls to other instances, whose state is then checked.

use tc_protocol::InstanceId;

use super::{Mesh, MeshError, actor::MeshMsg};

impl Mesh {
    /// Reports that a call to an instance timed out. The instance is probed next.
    ///
    /// Its connection is kept, since it may only be busy. If hundreds of instances reconnected after one slow moment, a
    /// busy home would not recover.
    pub fn report_timeout(&self, id: &InstanceId) {
        let _ = self.inner.actor.cast(MeshMsg::CallTimedOut(id.clone()));
    }

    /// Reports a failed call to an instance. It is probed next, and the next call to it uses a new connection.
    pub fn report_failed_call(&self, id: &InstanceId) {
        let _ = self.inner.actor.cast(MeshMsg::CallFailed(id.clone()));
    }

    /// Reports that a call to an instance failed, as [`Mesh::report_timeout`] or [`Mesh::report_failed_call`].
    pub fn report_error(&self, error: &MeshError) {
        match error {
            MeshError::TimedOut { instance } | MeshError::Full { instance } => {
                self.report_timeout(instance);
            }
            MeshError::NoAnswer { instance, .. }
            | MeshError::Refused { instance }
            | MeshError::Malformed { instance } => {
                self.report_failed_call(instance);
            }
        }
    }
}
