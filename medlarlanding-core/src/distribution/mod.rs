//! Subsystem `distribution`; see the design page.

value_type! {
    /// Messages between the `distribution` subsystems of two instances.
    pub enum DistributionMessage {
        /// Carries nothing.
        Empty,
    }
}
