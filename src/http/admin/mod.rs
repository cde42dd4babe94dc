//! The admin interface of the control members.
