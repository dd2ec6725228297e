//! Model engine as a state machine in virtual time.
