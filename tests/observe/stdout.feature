Feature: Log lines on standard output
  Their rate is limited, and writing them never blocks.

  Scenario: A message above the rate limit is dropped and counted
    # In a flood of openings, a log line for each would use up the processor.
    Given a handler that writes to a pipe
    When 250 lines of "opened" and 1 of "ready" are logged within a second
    Then 100 lines of "opened" and 1 of "ready" were written
    And the next line of "opened" shows that 150 were left out

  Scenario: A full pipe does not block the process
    # The log collector does not read, and the pipe is full.
    Given a handler that writes to a pipe
    When 3000 lines of 90 messages are logged and nobody reads
    Then that took less than 5 seconds and lines were dropped

  Scenario: Each line is one JSON object with its fields
    Given a handler that writes to a pipe
    When a decision is logged with its flow and an error with its trace
    Then both are JSON objects with node, time, level and message
