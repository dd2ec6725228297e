//! Subsystem `admission`; see the design page.

value_type! {
    /// Messages between the `admission` subsystems of two instances.
    pub enum AdmissionMessage {
        /// Carries nothing.
        Empty,
    }
}
