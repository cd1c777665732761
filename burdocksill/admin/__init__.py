"""The operators' view of a VM: status, explanations, metrics, health."""
