//! Subsystem `orders`; see the design page.

value_type! {
    /// Messages between the `orders` subsystems of two instances.
    pub enum OrderMessage {
        /// Carries nothing.
        Empty,
    }
}
