//! Subsystem `membership`; see the design page.

value_type! {
    /// Messages between the `membership` subsystems of two instances.
    pub enum MembershipMessage {
        /// Carries nothing.
        Empty,
    }
}
