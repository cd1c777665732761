"""System checks: messages with ids, levels and hints."""
