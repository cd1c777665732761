"""System checks of settings, documents, platform and fleet."""
