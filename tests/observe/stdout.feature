Feature: Log lines on standard output
  On-call engineers have only these. They are bounded, and nobody waits for
  them.

  Scenario: A message that comes too often is cut off and counted
    # A flood of openings writes a line each; the lines would take the core.
    Given a handler that writes to a pipe
    When 250 lines of "opened" and 1 of "ready" are logged within a second
    Then 100 lines of "opened" and 1 of "ready" were written
    And the next line of "opened" tells that 150 were left out

  Scenario: A reader that does not read stops nobody
    # The collector of the logs hangs, and the pipe is full.
    Given a handler that writes to a pipe
    When 3000 lines of 90 messages are logged and nobody reads
    Then that took less than 5 seconds and lines were dropped

  Scenario: Each line is one JSON object with its inputs
    Given a handler that writes to a pipe
    When a decision is logged with its flow and an error with its trace
    Then both are JSON objects with node, time, level and message
