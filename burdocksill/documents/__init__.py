"""Services' documents: schema, acceptance and dissemination."""
