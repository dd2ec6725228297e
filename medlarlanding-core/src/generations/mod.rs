//! One generation, delivered once and in order.
